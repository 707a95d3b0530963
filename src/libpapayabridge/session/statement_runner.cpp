#include "statement_runner.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// A part of the latency target is spent waiting for a connection; a caller that is told
// sooner can still be served in time by another entry.
constexpr int wait_part = 4;
// Before a statement that a member refused is tried again at the same member.
constexpr std::chrono::milliseconds retry_pause{10};
// A member that denied to be the primary is asked again after so long, unless news of the
// primary come before; longer than an answer from another region takes.
constexpr std::chrono::milliseconds denied_for{100};
// A change of primary takes less from its first failure on; one that is not usable for so
// long was not replaced because others can use it, or because nobody can lead.
constexpr std::chrono::milliseconds unusable_for{2500};
// Under load a member is tried more often than this; a failure before it may be over.
constexpr std::chrono::milliseconds failure_validity{1000};
// A replica that was behind is asked again after so long.
constexpr std::chrono::milliseconds behind_for{60};

// Errors that say that the member did not run the statement.
bool did_not_run(error_kind kind)
{
    switch (kind) {
    case error_kind::overloaded:
    case error_kind::behind:
    case error_kind::superseded:
    case error_kind::unreachable:
    case error_kind::not_found:
        return true;
    default:
        return false;
    }
}

statement_answer failed_answer(error why, session_phase phase)
{
    statement_answer answer;
    answer.failure = std::move(why);
    answer.phase = phase;
    return answer;
}

} // namespace

statement_runner::attempt statement_runner::begin(const statement& one,
                                                  const pooled_route& route) const
{
    auto now = steady_clock::now();
    attempt work{.one = one,
                 .route = route,
                 .deadline = now + route.statement_timeout,
                 .wait_until = now + route.target / wait_part,
                 .began = now,
                 .arrived = boottime_now(),
                 .version = services_.view->configuration.version};
    work.writes = one.verb == statement_verb::write;
    if (one.verb == statement_verb::execute) {
        auto found = session_.values.prepared.find(one.name);
        work.shape = found->second;
        work.writes = found->second.writes;
    }
    work.wait_until = std::min(work.wait_until, work.deadline);
    return work;
}

bool statement_runner::may_go_on(const attempt& work) const
{
    return steady_clock::now() < work.wait_until;
}

std::optional<position> statement_runner::needed_position(const attempt& work) const
{
    if (work.route.consistency == read_consistency::at_primary) {
        return std::nullopt;
    }
    auto samples = services_.samples.find(work.route.service);
    if (samples == services_.samples.end()) {
        return std::nullopt;
    }
    auto needed = samples->second.required_position(work.arrived, work.route.max_age);
    if (needed && work.route.consistency == read_consistency::own_writes &&
        session_.last_commit)
    {
        needed = std::max(*needed, *session_.last_commit);
    }
    return needed;
}

statement_runner::placement statement_runner::place(const attempt& work,
                                                    bool needs_primary) const
{
    placement where;
    const auto* service = services_.view->service(work.route.service);
    if (service == nullptr) {
        return where;
    }
    if (!needs_primary) {
        where.at_least = needed_position(work);
    }
    auto now = steady_clock::now();
    // Members that leave or failed come after the others; nearest first.
    std::vector<std::pair<int, member_id>> ordered;
    for (const auto& member : service->members) {
        const auto& health = services_.pool.health(member.run.id);
        bool gone = health.leaving_since &&
                    now - *health.leaving_since > services_.view->leave_limit;
        bool wrong = !where.at_least && member.run.id != service->primary;
        bool behind = where.at_least && now < health.behind_until &&
                      health.reached < *where.at_least;
        if (gone || wrong || behind) {
            continue;
        }
        int penalty =
            (member.leaving ? 1 : 0) + (work.failed_at.count(member.run.id) != 0 ? 2 : 0);
        ordered.emplace_back(penalty, member.run.id);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [penalty, member] : ordered) {
        where.members.push_back(std::move(member));
    }
    return where;
}

// Whether only a primary can run it, and this entry has none and expects none soon: the
// one that it knows was replaced and no news of another can come, or it has not been
// usable for longer than a change of primary takes.
bool statement_runner::is_unservable(const attempt& work, const placement& where) const
{
    const auto* service = services_.view->service(work.route.service);
    if (where.at_least || service == nullptr) {
        return false;
    }
    bool replaced =
        !services_.follows_keepers && services_.pool.denies_lead(service->primary);
    const auto& health = services_.pool.health(service->primary);
    auto now = steady_clock::now();
    bool unusable = health.failing_since && now - *health.failing_since > unusable_for &&
                    now - health.last_failure < failure_validity;
    return replaced || unusable;
}

net::awaitable<pooled_connection> statement_runner::take(attempt& work,
                                                         const placement& where)
{
    work.is_unservable = is_unservable(work, where);
    if (work.is_unservable) {
        work.wait_until = steady_clock::now();
    }
    connection_request request{.service = work.route.service,
                               .members = where.members,
                               .session = &session_.values,
                               .rank = work.route.rank,
                               .needs_primary = !where.at_least,
                               .wait_until = work.wait_until};
    work.last_needed = where.at_least;
    auto began = steady_clock::now();
    auto taken = co_await services_.pool.take(std::move(request));
    work.waited += steady_clock::now() - began;
    if (!taken) {
        if (!where.members.empty()) {
            set_problem(work, taken.error());
        }
        co_return pooled_connection();
    }
    ++work.attempts;
    work.last_member = taken.value().member();
    co_return std::move(taken.value());
}

statement_facts statement_runner::facts(const attempt& work) const
{
    return {.request = work.one.id,
            .database = session_.database,
            .route = work.route,
            .writes = work.writes || work.one.verb == statement_verb::commit,
            .version = work.version,
            .member = work.last_member,
            .attempts = work.attempts,
            .waited = work.waited,
            .took = steady_clock::now() - work.began,
            .needed = work.last_needed};
}

void statement_runner::report_end(const attempt& work, const statement_answer& answer)
{
    services_.report.ended(facts(work), answer);
}

net::awaitable<void> statement_runner::rest(attempt& work)
{
    net::steady_timer timer(services_.executor);
    timer.expires_at(std::min(steady_clock::now() + retry_pause, work.wait_until));
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

// The answer says "not run" only if that holds for every try.
void statement_runner::set_problem(attempt& work, const error& problem)
{
    if (!work.may_have_run || !did_not_run(problem.kind)) {
        work.last_problem = problem;
    }
}

void statement_runner::note_problem(attempt& work, const member_id& member,
                                    const error& problem, std::optional<position> reached)
{
    auto now = steady_clock::now();
    set_problem(work, problem);
    work.failed_at.insert(member);
    services_.report.tried(facts(work), problem, reached);
    if (problem.kind == error_kind::behind) {
        auto& health = services_.pool.health(member);
        health.behind_until = now + behind_for;
        health.reached = reached.value_or(position());
    }
    if (problem.kind == error_kind::superseded) {
        services_.pool.health(member).denies_lead_until = now + denied_for;
    }
    if (!did_not_run(problem.kind)) {
        // It was offered to a member, so it is worth another one's time.
        auto longer = now + work.route.target / wait_part;
        work.wait_until = std::min(std::max(work.wait_until, longer), work.deadline);
    }
}

void statement_runner::sample(const attempt& work, position_samples::time sent,
                              const statement_answer& answer)
{
    if (answer.log_position) {
        services_.samples[work.route.service].add(sent, *answer.log_position);
    }
}

statement_answer statement_runner::give_up(const attempt& work, session_phase phase)
{
    session_.is_better_elsewhere = work.is_unservable;
    return failed_answer(work.last_problem, phase);
}

net::awaitable<statement_answer> statement_runner::run_single(const statement& one,
                                                              const pooled_route& route)
{
    auto work = begin(one, route);
    auto answer = co_await run_until_answered(work);
    report_end(work, answer);
    co_return answer;
}

net::awaitable<statement_answer> statement_runner::run_until_answered(attempt& work)
{
    do {
        std::optional<statement_answer> answer;
        if (work.writes) {
            answer = co_await try_write(work);
        } else {
            answer = co_await try_read(work);
        }
        if (answer) {
            co_return std::move(*answer);
        }
    } while (may_go_on(work));
    co_return give_up(work, session_phase::idle);
}

net::awaitable<std::optional<statement_answer>> statement_runner::try_write(attempt& work)
{
    auto connection = co_await take(work, place(work, true));
    if (!connection) {
        co_return std::nullopt;
    }
    auto member = connection.member();
    auto setup = plan_connection_setup(connection->contents, session_.values, work.shape);
    std::string bytes;
    services_.members.encode_statement(bytes, work.one, setup.prepared_name, {});
    auto sent = boottime_now();
    auto given = co_await exchange(work, connection, std::move(setup), std::move(bytes));
    auto answer = own_answer(std::move(given), session_phase::idle);
    if (!answer) {
        if (answer.error().kind == error_kind::unreachable) {
            note_problem(work, member, answer.error());
            co_return std::nullopt;
        }
        co_return failed_answer(fail(error_kind::outcome_unknown, answer.error().detail),
                                session_phase::idle);
    }
    if (answer.value().phase == session_phase::idle) {
        connection.give_back();
    }
    auto& failure = answer.value().failure;
    if (failure && did_not_run(failure->kind)) {
        note_problem(work, member, *failure);
        co_await rest(work);
        co_return std::nullopt;
    }
    if (!failure) {
        sample(work, sent, answer.value());
        session_.last_commit =
            std::max(session_.last_commit, answer.value().log_position);
    }
    answer.value().phase = session_phase::idle;
    co_return std::move(answer.value());
}

net::awaitable<std::optional<statement_answer>> statement_runner::try_read(attempt& work)
{
    auto where = place(work, false);
    auto connection = co_await take(work, where);
    if (!connection) {
        co_return std::nullopt;
    }
    auto member = connection.member();
    bool in_transaction = !where.at_least;
    if (in_transaction) {
        auto begun = co_await prove_primary(work, connection);
        if (!begun) {
            note_problem(work, member, begun.error());
            co_await rest(work);
            co_return std::nullopt;
        }
    }
    auto setup = plan_connection_setup(connection->contents, session_.values, work.shape);
    std::string bytes;
    services_.members.encode_statement(bytes, work.one, setup.prepared_name,
                                       where.at_least);
    if (in_transaction) {
        services_.members.encode_rollback(bytes);
    }
    auto sent = boottime_now();
    auto given = co_await exchange(work, connection, std::move(setup), std::move(bytes));
    auto answer =
        own_answer(std::move(given),
                   in_transaction ? session_phase::in_transaction : session_phase::idle);
    if (!answer) {
        // A read may run twice.
        work.may_have_run = true;
        note_problem(work, member, answer.error());
        co_await rest(work);
        co_return std::nullopt;
    }
    auto& failure = answer.value().failure;
    if (in_transaction) {
        if (!failure) {
            sample(work, sent, answer.value());
        }
        recycle(services_, std::move(connection), true);
    } else if (answer.value().phase == session_phase::idle) {
        connection.give_back();
    }
    if (failure && failure->kind != error_kind::bad_request) {
        note_problem(work, member, *failure, answer.value().log_position);
        co_await rest(work);
        co_return std::nullopt;
    }
    answer.value().phase = session_phase::idle;
    co_return std::move(answer.value());
}

// Opens the transaction at a member with the first statement that needs one.
net::awaitable<bool> statement_runner::bind(attempt& work,
                                            session_transaction& transaction)
{
    auto where = place(work, !transaction.read_only);
    auto connection = co_await take(work, where);
    if (!connection) {
        co_return false;
    }
    auto member = connection.member();
    auto setup = plan_connection_setup(connection->contents, session_.values, work.shape);
    std::string bytes;
    bool at_primary = !where.at_least;
    services_.members.encode_begin(bytes, !at_primary, where.at_least);
    auto begun = co_await exchange(work, connection, std::move(setup), std::move(bytes));
    if (!begun) {
        note_problem(work, member, begun.error());
        co_return false;
    }
    if (begun.value().failure) {
        note_problem(work, member, *begun.value().failure, begun.value().log_position);
        if (begun.value().phase == session_phase::idle) {
            connection.give_back();
        }
        co_await rest(work);
        co_return false;
    }
    transaction.connection = std::move(connection);
    transaction.at_primary = at_primary;
    co_return true;
}

net::awaitable<statement_answer>
statement_runner::run_within(const statement& one, session_transaction& transaction)
{
    auto work = begin(one, transaction.route);
    bool bound = bool(transaction.connection);
    if (bound) {
        work.last_member = transaction.connection.member();
    }
    while (!bound) {
        bound = co_await bind(work, transaction);
        if (!bound && !may_go_on(work)) {
            transaction.failed = true;
            auto answer = give_up(work, session_phase::failed);
            report_end(work, answer);
            co_return answer;
        }
    }
    auto answer = co_await run_bound(work, transaction);
    report_end(work, answer);
    co_return answer;
}

net::awaitable<statement_answer>
statement_runner::run_bound(attempt& work, session_transaction& transaction)
{
    while (true) {
        auto setup = plan_connection_setup(transaction.connection->contents,
                                           session_.values, work.shape);
        std::string bytes;
        services_.members.encode_statement(bytes, work.one, setup.prepared_name, {});
        auto sent = boottime_now();
        auto given = co_await exchange(work, transaction.connection, std::move(setup),
                                       std::move(bytes));
        bool commits = work.one.verb == statement_verb::commit;
        auto answer =
            own_answer(std::move(given),
                       commits ? session_phase::idle : session_phase::in_transaction);
        bool busy = answer && answer.value().failure &&
                    answer.value().failure->kind == error_kind::overloaded &&
                    answer.value().phase == session_phase::in_transaction;
        if (busy && may_go_on(work)) {
            co_await rest(work);
            continue;
        }
        if (answer && !answer.value().failure) {
            transaction.wrote = transaction.wrote || work.writes;
            if (transaction.at_primary) {
                sample(work, sent, answer.value());
            }
        }
        co_return co_await end_within(work, transaction, std::move(answer));
    }
}

net::awaitable<statement_answer>
statement_runner::end_within(attempt& work, session_transaction& transaction,
                             result<statement_answer> answer)
{
    bool commits = work.one.verb == statement_verb::commit;
    if (!answer) {
        transaction.connection.drop();
        transaction.failed = true;
        if (commits && transaction.wrote) {
            co_return failed_answer(
                fail(error_kind::outcome_unknown, answer.error().detail),
                session_phase::idle);
        }
        // Closing the connection rolled it back, and nobody asked for a commit.
        auto lost = fail(error_kind::transaction_lost, answer.error().detail);
        co_return failed_answer(std::move(lost),
                                commits ? session_phase::idle : session_phase::failed);
    }
    auto& value = answer.value();
    if (commits) {
        if (!value.failure && transaction.wrote) {
            session_.last_commit = std::max(session_.last_commit, value.log_position);
        }
        if (value.phase == session_phase::idle) {
            transaction.connection.give_back();
        } else {
            recycle(services_, std::move(transaction.connection), false);
        }
        value.phase = session_phase::idle;
        co_return std::move(value);
    }
    if (value.phase != session_phase::in_transaction) {
        transaction.failed = true;
        value.phase = session_phase::failed;
        recycle(services_, std::move(transaction.connection), false);
    }
    co_return std::move(value);
}

} // namespace papayabridge

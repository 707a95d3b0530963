#include "statement_runner.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// Fraction of the latency target that may be spent waiting for a connection. A caller
// that is refused early can still be served in time by another entry.
constexpr int wait_divisor = 4;
// Pause before a refused statement is retried at the same member.
constexpr std::chrono::milliseconds retry_pause{10};
// How long a member that denied being the primary is avoided, unless its service
// changes its primary earlier. Longer than a round trip to another region.
constexpr std::chrono::milliseconds denial_time{100};
// Longer than a change of primary takes from the first failure. A primary unusable for
// longer stays because other entries can use it or no replica can replace it.
constexpr std::chrono::milliseconds unusable_limit{2500};
// Under load a member is tried more often than this, so an older failure may be over.
constexpr std::chrono::milliseconds failure_validity{1000};
// How long a replica whose log was behind is avoided.
constexpr std::chrono::milliseconds behind_time{60};

// Whether \p kind guarantees that the member did not run the statement.
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

statement_runner::execution
statement_runner::start_execution(const statement& stmt, const pooled_route& route) const
{
    auto now = steady_clock::now();
    execution run{.stmt = stmt,
                  .route = route,
                  .deadline = now + route.statement_timeout,
                  .wait_until = now + route.target / wait_divisor,
                  .started = now,
                  .arrival = boottime_now(),
                  .version = services_.view->configuration.version};
    run.writes = stmt.verb == statement_verb::write;
    if (stmt.verb == statement_verb::execute) {
        auto found = session_.values.prepared.find(stmt.name);
        run.shape = found->second;
        run.writes = found->second.writes;
    }
    run.wait_until = std::min(run.wait_until, run.deadline);
    return run;
}

bool statement_runner::may_retry(const execution& run) const
{
    return steady_clock::now() < run.wait_until;
}

std::optional<position> statement_runner::needed_position(const execution& run) const
{
    if (run.route.consistency == read_consistency::at_primary) {
        return std::nullopt;
    }
    auto samples = services_.samples.find(run.route.service);
    if (samples == services_.samples.end()) {
        return std::nullopt;
    }
    auto needed = samples->second.required_position(run.arrival, run.route.max_age);
    if (needed && run.route.consistency == read_consistency::own_writes &&
        session_.last_commit)
    {
        needed = std::max(*needed, *session_.last_commit);
    }
    return needed;
}

statement_runner::candidate_list
statement_runner::select_members(const execution& run, bool needs_primary) const
{
    candidate_list candidates;
    const auto* service = services_.view->service(run.route.service);
    if (service == nullptr) {
        return candidates;
    }
    if (!needs_primary) {
        candidates.min_position = needed_position(run);
    }
    auto now = steady_clock::now();
    // Nearest first; members that are leaving or failed this statement come last.
    std::vector<std::pair<int, member_id>> ordered;
    for (const auto& member : service->members) {
        const auto& health = services_.pool.health(member.run.id);
        bool gone = health.leaving_since &&
                    now - *health.leaving_since > services_.view->leaving_limit;
        bool not_primary = !candidates.min_position && member.run.id != service->primary;
        bool behind = candidates.min_position && now < health.behind_until &&
                      health.reached < *candidates.min_position;
        if (gone || not_primary || behind) {
            continue;
        }
        int penalty = (member.leaving ? 1 : 0) +
                      (run.failed_members.count(member.run.id) != 0 ? 2 : 0);
        ordered.emplace_back(penalty, member.run.id);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& [penalty, member] : ordered) {
        candidates.members.push_back(std::move(member));
    }
    return candidates;
}

// True if the statement needs the primary and none is expected soon: the known one denies
// the role and no keeper is reachable, or it was unusable longer than a change takes.
bool statement_runner::has_no_usable_primary(const execution& run,
                                             const candidate_list& candidates) const
{
    const auto* service = services_.view->service(run.route.service);
    if (candidates.min_position || service == nullptr) {
        return false;
    }
    bool replaced = !services_.keepers_reachable &&
                    services_.pool.denies_primary_role(service->primary);
    const auto& health = services_.pool.health(service->primary);
    auto now = steady_clock::now();
    bool unusable = health.failing_since &&
                    now - *health.failing_since > unusable_limit &&
                    now - health.last_failure < failure_validity;
    return replaced || unusable;
}

net::awaitable<pooled_connection>
statement_runner::acquire(execution& run, const candidate_list& candidates)
{
    run.no_usable_primary = has_no_usable_primary(run, candidates);
    if (run.no_usable_primary) {
        run.wait_until = steady_clock::now();
    }
    connection_request request{.service = run.route.service,
                               .members = candidates.members,
                               .session = &session_.values,
                               .rank = run.route.rank,
                               .needs_primary = !candidates.min_position,
                               .wait_until = run.wait_until};
    run.last_needed = candidates.min_position;
    auto started = steady_clock::now();
    auto taken = co_await services_.pool.acquire(std::move(request));
    run.waited += steady_clock::now() - started;
    if (!taken) {
        if (!candidates.members.empty()) {
            set_last_error(run, taken.error());
        }
        co_return pooled_connection();
    }
    ++run.attempts;
    run.last_member = taken.value().member();
    co_return std::move(taken.value());
}

statement_summary statement_runner::summarize(const execution& run) const
{
    return {.request = run.stmt.id,
            .database = session_.database,
            .route = run.route,
            .writes = run.writes || run.stmt.verb == statement_verb::commit,
            .version = run.version,
            .member = run.last_member,
            .attempts = run.attempts,
            .waited = run.waited,
            .took = steady_clock::now() - run.started,
            .needed = run.last_needed};
}

void statement_runner::report_finished(const execution& run,
                                       const statement_answer& answer)
{
    services_.report.record_finished(summarize(run), answer);
}

net::awaitable<void> statement_runner::pause_before_retry(execution& run)
{
    net::steady_timer timer(services_.executor);
    timer.expires_at(std::min(steady_clock::now() + retry_pause, run.wait_until));
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

// The answer may say "not run" only if no attempt can have run.
void statement_runner::set_last_error(execution& run, const error& problem)
{
    if (!run.may_have_run || !did_not_run(problem.kind)) {
        run.last_error = problem;
    }
}

void statement_runner::record_failure(execution& run, const member_id& member,
                                      const error& problem,
                                      std::optional<position> reached)
{
    auto now = steady_clock::now();
    set_last_error(run, problem);
    run.failed_members.insert(member);
    services_.report.record_failed_attempt(summarize(run), problem, reached);
    if (problem.kind == error_kind::behind) {
        auto& health = services_.pool.health(member);
        health.behind_until = now + behind_time;
        health.reached = reached.value_or(position());
    }
    if (problem.kind == error_kind::superseded) {
        services_.pool.health(member).denies_primary_until = now + denial_time;
    }
    if (!did_not_run(problem.kind)) {
        // An attempt may have run, so the statement gets more time for another member.
        auto extended = now + run.route.target / wait_divisor;
        run.wait_until = std::min(std::max(run.wait_until, extended), run.deadline);
    }
}

void statement_runner::record_sample(const execution& run, position_samples::time sent,
                                     const statement_answer& answer)
{
    if (answer.log_position) {
        services_.samples[run.route.service].add(sent, *answer.log_position);
    }
}

statement_answer statement_runner::give_up(const execution& run, session_phase phase)
{
    session_.should_reconnect = run.no_usable_primary;
    return failed_answer(run.last_error, phase);
}

net::awaitable<statement_answer> statement_runner::run_alone(const statement& stmt,
                                                             const pooled_route& route)
{
    auto run = start_execution(stmt, route);
    auto answer = co_await run_until_answered(run);
    report_finished(run, answer);
    co_return answer;
}

net::awaitable<statement_answer> statement_runner::run_until_answered(execution& run)
{
    do {
        std::optional<statement_answer> answer;
        if (run.writes) {
            answer = co_await try_write(run);
        } else {
            answer = co_await try_read(run);
        }
        if (answer) {
            co_return std::move(*answer);
        }
    } while (may_retry(run));
    co_return give_up(run, session_phase::idle);
}

net::awaitable<std::optional<statement_answer>>
statement_runner::try_write(execution& run)
{
    auto connection = co_await acquire(run, select_members(run, true));
    if (!connection) {
        co_return std::nullopt;
    }
    auto member = connection.member();
    auto setup = plan_connection_setup(connection->contents, session_.values, run.shape);
    std::string bytes;
    services_.member_protocol.encode_statement(bytes, run.stmt, setup.prepared_name, {});
    auto sent = boottime_now();
    auto reply = co_await exchange(run, connection, std::move(setup), std::move(bytes));
    auto answer = check_answer(std::move(reply), session_phase::idle);
    if (!answer) {
        if (answer.error().kind == error_kind::unreachable) {
            record_failure(run, member, answer.error());
            co_return std::nullopt;
        }
        co_return failed_answer(fail(error_kind::outcome_unknown, answer.error().detail),
                                session_phase::idle);
    }
    if (answer.value().phase == session_phase::idle) {
        connection.release();
    }
    auto& failure = answer.value().failure;
    if (failure && did_not_run(failure->kind)) {
        record_failure(run, member, *failure);
        co_await pause_before_retry(run);
        co_return std::nullopt;
    }
    if (!failure) {
        record_sample(run, sent, answer.value());
        session_.last_commit =
            std::max(session_.last_commit, answer.value().log_position);
    }
    answer.value().phase = session_phase::idle;
    co_return std::move(answer.value());
}

net::awaitable<std::optional<statement_answer>> statement_runner::try_read(execution& run)
{
    auto candidates = select_members(run, false);
    auto connection = co_await acquire(run, candidates);
    if (!connection) {
        co_return std::nullopt;
    }
    auto member = connection.member();
    bool in_transaction = !candidates.min_position;
    if (in_transaction) {
        auto begun = co_await begin_at_primary(run, connection);
        if (!begun) {
            record_failure(run, member, begun.error());
            co_await pause_before_retry(run);
            co_return std::nullopt;
        }
    }
    auto setup = plan_connection_setup(connection->contents, session_.values, run.shape);
    std::string bytes;
    services_.member_protocol.encode_statement(bytes, run.stmt, setup.prepared_name,
                                               candidates.min_position);
    if (in_transaction) {
        services_.member_protocol.encode_rollback(bytes);
    }
    auto sent = boottime_now();
    auto reply = co_await exchange(run, connection, std::move(setup), std::move(bytes));
    auto answer =
        check_answer(std::move(reply), in_transaction ? session_phase::in_transaction
                                                      : session_phase::idle);
    if (!answer) {
        // Reads may run twice, so this one is retried.
        run.may_have_run = true;
        record_failure(run, member, answer.error());
        co_await pause_before_retry(run);
        co_return std::nullopt;
    }
    auto& failure = answer.value().failure;
    if (in_transaction) {
        if (!failure) {
            record_sample(run, sent, answer.value());
        }
        roll_back_and_release(services_, std::move(connection), true);
    } else if (answer.value().phase == session_phase::idle) {
        connection.release();
    }
    if (failure && failure->kind != error_kind::bad_request) {
        record_failure(run, member, *failure, answer.value().log_position);
        co_await pause_before_retry(run);
        co_return std::nullopt;
    }
    answer.value().phase = session_phase::idle;
    co_return std::move(answer.value());
}

// Sends BEGIN to a member before the first statement of the transaction.
net::awaitable<bool> statement_runner::open_transaction(execution& run,
                                                        session_transaction& transaction)
{
    auto candidates = select_members(run, !transaction.read_only);
    auto connection = co_await acquire(run, candidates);
    if (!connection) {
        co_return false;
    }
    auto member = connection.member();
    auto setup = plan_connection_setup(connection->contents, session_.values, run.shape);
    std::string bytes;
    bool at_primary = !candidates.min_position;
    services_.member_protocol.encode_begin(bytes, !at_primary, candidates.min_position);
    auto begun = co_await exchange(run, connection, std::move(setup), std::move(bytes));
    if (!begun) {
        record_failure(run, member, begun.error());
        co_return false;
    }
    if (begun.value().failure) {
        record_failure(run, member, *begun.value().failure, begun.value().log_position);
        if (begun.value().phase == session_phase::idle) {
            connection.release();
        }
        co_await pause_before_retry(run);
        co_return false;
    }
    transaction.connection = std::move(connection);
    transaction.at_primary = at_primary;
    co_return true;
}

net::awaitable<statement_answer>
statement_runner::run_in_transaction(const statement& stmt,
                                     session_transaction& transaction)
{
    auto run = start_execution(stmt, transaction.route);
    bool is_open = bool(transaction.connection);
    if (is_open) {
        run.last_member = transaction.connection.member();
    }
    while (!is_open) {
        is_open = co_await open_transaction(run, transaction);
        if (!is_open && !may_retry(run)) {
            transaction.failed = true;
            auto answer = give_up(run, session_phase::failed);
            report_finished(run, answer);
            co_return answer;
        }
    }
    auto answer = co_await run_bound(run, transaction);
    report_finished(run, answer);
    co_return answer;
}

net::awaitable<statement_answer>
statement_runner::run_bound(execution& run, session_transaction& transaction)
{
    while (true) {
        auto setup = plan_connection_setup(transaction.connection->contents,
                                           session_.values, run.shape);
        std::string bytes;
        services_.member_protocol.encode_statement(bytes, run.stmt, setup.prepared_name,
                                                   {});
        auto sent = boottime_now();
        auto reply = co_await exchange(run, transaction.connection, std::move(setup),
                                       std::move(bytes));
        bool commits = run.stmt.verb == statement_verb::commit;
        auto answer =
            check_answer(std::move(reply),
                         commits ? session_phase::idle : session_phase::in_transaction);
        bool busy = answer && answer.value().failure &&
                    answer.value().failure->kind == error_kind::overloaded &&
                    answer.value().phase == session_phase::in_transaction;
        if (busy && may_retry(run)) {
            co_await pause_before_retry(run);
            continue;
        }
        if (answer && !answer.value().failure) {
            transaction.wrote = transaction.wrote || run.writes;
            if (transaction.at_primary) {
                record_sample(run, sent, answer.value());
            }
        }
        co_return co_await finish_statement(run, transaction, std::move(answer));
    }
}

net::awaitable<statement_answer>
statement_runner::finish_statement(execution& run, session_transaction& transaction,
                                   result<statement_answer> answer)
{
    bool commits = run.stmt.verb == statement_verb::commit;
    if (!answer) {
        transaction.connection.close();
        transaction.failed = true;
        if (commits && transaction.wrote) {
            co_return failed_answer(
                fail(error_kind::outcome_unknown, answer.error().detail),
                session_phase::idle);
        }
        // Closing the connection rolled back the transaction. The outcome is not in
        // doubt, because no commit was requested or the transaction wrote nothing.
        auto failure = fail(error_kind::transaction_lost, answer.error().detail);
        co_return failed_answer(std::move(failure),
                                commits ? session_phase::idle : session_phase::failed);
    }
    auto& value = answer.value();
    if (commits) {
        if (!value.failure && transaction.wrote) {
            session_.last_commit = std::max(session_.last_commit, value.log_position);
        }
        if (value.phase == session_phase::idle) {
            transaction.connection.release();
        } else {
            roll_back_and_release(services_, std::move(transaction.connection), false);
        }
        value.phase = session_phase::idle;
        co_return std::move(value);
    }
    if (value.phase != session_phase::in_transaction) {
        transaction.failed = true;
        value.phase = session_phase::failed;
        roll_back_and_release(services_, std::move(transaction.connection), false);
    }
    co_return std::move(value);
}

} // namespace papayabridge

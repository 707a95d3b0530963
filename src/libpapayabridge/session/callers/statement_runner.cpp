#include "statement_runner.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// Fraction of the latency target that may be spent waiting for a connection. A caller
// that is refused early can still be served in time by another entry.
constexpr int wait_divisor = 4;
// Quarters of the statement's time that it may wait at a gate. The last is left to run
// it.
constexpr int queued_parts = 3;
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
    // A caller that a gate refuses comes back to the same queue, as its last. It is
    // better served late than sent there again.
    const auto* service = services_.view->service(route.service);
    bool is_queued_at_gate = service != nullptr && service->through_gates;
    run.queue_until =
        is_queued_at_gate
            ? now + std::min<std::chrono::milliseconds>(
                        route.target, route.statement_timeout * queued_parts / 4)
            : run.wait_until;
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
        bool gone = health.leaving.is_over(now, services_.view->leaving_limit);
        bool not_primary = !candidates.min_position && member.run.id != service->primary;
        bool behind = candidates.min_position &&
                      health.behind.is_avoided(now, *candidates.min_position);
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

session_statement statement_runner::work_of(const execution& run) const
{
    return {.stmt = &run.stmt,
            .session = &session_.values,
            .shape = run.shape,
            .writes = run.writes,
            .deadline = run.deadline};
}

// One attempt. An outcome of stage `waiting` is recorded here as the last error.
net::awaitable<member_outcome>
statement_runner::run_at_member(execution& run, const candidate_list& candidates,
                                run_scope scope)
{
    run.no_usable_primary = has_no_usable_primary(run, candidates);
    if (run.no_usable_primary) {
        run.wait_until = steady_clock::now();
        run.queue_until = run.wait_until;
    }
    member_request request{.service = run.route.service,
                           .members = candidates.members,
                           .work = work_of(run),
                           .scope = scope,
                           .account = session_.account,
                           .rank = run.route.rank,
                           .needs_primary = !candidates.min_position,
                           .at_least = candidates.min_position,
                           .wait_until = std::max(run.wait_until, run.queue_until)};
    run.last_needed = candidates.min_position;
    auto started = boottime_now();
    auto outcome = co_await services_.members.run(std::move(request));
    run.waited += outcome.waited;
    run.sent = started + outcome.waited;
    if (!outcome.member.empty()) {
        ++run.attempts;
        run.last_member = outcome.member;
    }
    if (outcome.stage == run_stage::waiting) {
        if (!candidates.members.empty()) {
            set_last_error(run, outcome.answer.error());
        }
        if (outcome.is_unservable) {
            run.wait_until = steady_clock::now();
        }
    }
    co_return outcome;
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
        services_.pool.health(member).behind.record(now, reached.value_or(position()));
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

void statement_runner::record_sample(const execution& run, bool in_transaction,
                                     bool wrote, const statement_answer& answer)
{
    bool is_sample = !answer.failure && answer.log_position &&
                     proves_primary_role(run.stmt.verb, in_transaction, wrote);
    if (is_sample) {
        services_.samples[run.route.service].add(run.sent, *answer.log_position);
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
    auto candidates = select_members(run, true);
    auto outcome = co_await run_at_member(run, candidates, run_scope::single);
    if (outcome.stage == run_stage::waiting) {
        co_return std::nullopt;
    }
    auto& answer = outcome.answer;
    if (!answer) {
        if (answer.error().kind == error_kind::unreachable) {
            record_failure(run, outcome.member, answer.error());
            co_return std::nullopt;
        }
        co_return failed_answer(fail(error_kind::outcome_unknown, answer.error().detail),
                                session_phase::idle);
    }
    auto& failure = answer.value().failure;
    if (failure && did_not_run(failure->kind)) {
        record_failure(run, outcome.member, *failure);
        co_await pause_before_retry(run);
        co_return std::nullopt;
    }
    if (!failure) {
        record_sample(run, false, run.writes, answer.value());
        session_.last_commit =
            std::max(session_.last_commit, answer.value().log_position);
    }
    answer.value().phase = session_phase::idle;
    co_return std::move(answer.value());
}

net::awaitable<std::optional<statement_answer>> statement_runner::try_read(execution& run)
{
    auto candidates = select_members(run, false);
    auto scope = candidates.min_position ? run_scope::single : run_scope::read_at_primary;
    auto outcome = co_await run_at_member(run, candidates, scope);
    if (outcome.stage == run_stage::waiting) {
        co_return std::nullopt;
    }
    auto& answer = outcome.answer;
    if (!answer) {
        // Reads may run twice, so this one is retried.
        run.may_have_run = run.may_have_run || outcome.stage == run_stage::sent;
        record_failure(run, outcome.member, answer.error());
        co_await pause_before_retry(run);
        co_return std::nullopt;
    }
    auto& failure = answer.value().failure;
    if (scope == run_scope::read_at_primary) {
        record_sample(run, true, run.writes, answer.value());
    }
    if (failure && failure->kind != error_kind::bad_request) {
        record_failure(run, outcome.member, *failure, answer.value().log_position);
        bool has_untried = run.failed_members.size() < candidates.members.size();
        if (failure->kind != error_kind::behind || !has_untried) {
            co_await pause_before_retry(run);
        }
        co_return std::nullopt;
    }
    answer.value().phase = session_phase::idle;
    co_return std::move(answer.value());
}

// Opens the transaction with its first statement. Returns the answer to the statement, or
// nothing if no member opened the transaction.
net::awaitable<std::optional<result<statement_answer>>>
statement_runner::open_transaction(execution& run, session_transaction& transaction)
{
    auto candidates = select_members(run, !transaction.read_only);
    bool at_primary = !candidates.min_position;
    auto outcome = co_await run_at_member(run, candidates,
                                          at_primary ? run_scope::begin_read_write
                                                     : run_scope::begin_read_only);
    if (outcome.stage == run_stage::waiting) {
        co_return std::nullopt;
    }
    if (outcome.stage == run_stage::opening) {
        if (!outcome.answer) {
            record_failure(run, outcome.member, outcome.answer.error());
            co_return std::nullopt;
        }
        record_failure(run, outcome.member, *outcome.answer.value().failure,
                       outcome.answer.value().log_position);
        co_await pause_before_retry(run);
        co_return std::nullopt;
    }
    transaction.at_member = std::move(outcome.transaction);
    transaction.at_primary = at_primary;
    co_return std::move(outcome.answer);
}

net::awaitable<statement_answer>
statement_runner::run_in_transaction(const statement& stmt,
                                     session_transaction& transaction)
{
    auto run = start_execution(stmt, transaction.route);
    std::optional<result<statement_answer>> first;
    if (transaction.at_member) {
        run.last_member = transaction.at_member->member();
        run.sent = boottime_now();
        first = co_await transaction.at_member->run(work_of(run));
    }
    while (!first) {
        first = co_await open_transaction(run, transaction);
        if (!first && !may_retry(run)) {
            transaction.failed = true;
            auto answer = give_up(run, session_phase::failed);
            report_finished(run, answer);
            co_return answer;
        }
    }
    auto answer = co_await run_bound(run, transaction, std::move(*first));
    report_finished(run, answer);
    co_return answer;
}

// Repeats a statement that the member refused because it is busy, then records its
// answer.
net::awaitable<statement_answer>
statement_runner::run_bound(execution& run, session_transaction& transaction,
                            result<statement_answer> answer)
{
    auto is_busy = [&] {
        return answer && answer.value().failure &&
               answer.value().failure->kind == error_kind::overloaded &&
               answer.value().phase == session_phase::in_transaction;
    };
    while (is_busy() && may_retry(run)) {
        co_await pause_before_retry(run);
        run.sent = boottime_now();
        answer = co_await transaction.at_member->run(work_of(run));
    }
    if (answer && !answer.value().failure) {
        transaction.wrote = transaction.wrote || run.writes;
        if (transaction.at_primary) {
            record_sample(run, true, transaction.wrote, answer.value());
        }
    }
    co_return finish_statement(run, transaction, std::move(answer));
}

statement_answer statement_runner::finish_statement(execution& run,
                                                    session_transaction& transaction,
                                                    result<statement_answer> answer)
{
    bool commits = run.stmt.verb == statement_verb::commit;
    if (!answer) {
        transaction.at_member.reset();
        transaction.failed = true;
        if (commits && transaction.wrote) {
            return failed_answer(fail(error_kind::outcome_unknown, answer.error().detail),
                                 session_phase::idle);
        }
        // The member rolls back the transaction. The outcome is not in doubt, because no
        // commit was requested or the transaction wrote nothing.
        auto failure = fail(error_kind::transaction_lost, answer.error().detail);
        return failed_answer(std::move(failure),
                             commits ? session_phase::idle : session_phase::failed);
    }
    auto& value = answer.value();
    if (commits) {
        if (!value.failure && transaction.wrote) {
            session_.last_commit = std::max(session_.last_commit, value.log_position);
        }
        transaction.at_member.reset();
        value.phase = session_phase::idle;
        return std::move(value);
    }
    if (value.phase != session_phase::in_transaction) {
        transaction.failed = true;
        value.phase = session_phase::failed;
        transaction.at_member.reset();
    }
    return std::move(value);
}

} // namespace papayabridge

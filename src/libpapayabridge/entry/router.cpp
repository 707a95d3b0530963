#include "router.hpp"

namespace papayabridge {

namespace {

constexpr std::size_t max_buffered_answer_bytes = 64 * 1024;
constexpr std::size_t idle_connections_per_entry = 256;
constexpr std::chrono::milliseconds min_backoff{5};
constexpr std::chrono::milliseconds max_backoff{100};
constexpr std::chrono::milliseconds avoidance_period{200};
constexpr std::chrono::milliseconds max_lag_estimate{1000};
constexpr std::chrono::milliseconds lag_step{20};
// Added to the deadline, so that the remote gate can still report that it passed.
constexpr std::chrono::milliseconds answer_grace{50};
// An entry without an answer of the keepers for this long considers itself isolated.
constexpr std::chrono::milliseconds isolated_after{3000};
// An isolated entry refuses a statement after this many tries.
constexpr unsigned max_tries_when_isolated = 3;

// Whether another member, or the same member later, may succeed after this error.
bool is_transient(error_kind kind)
{
    switch (kind) {
    case error_kind::no_primary:
    case error_kind::too_stale:
    case error_kind::behind:
    case error_kind::superseded:
    case error_kind::leaving:
    case error_kind::unreachable:
    case error_kind::overloaded:
        return true;
    default:
        return false;
    }
}

std::chrono::milliseconds time_left(time_point deadline)
{
    auto left = deadline - steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(left);
}

// Body of a long answer that another entry forwards.
class forwarded_stream : public answer_stream
{
public:
    forwarded_stream(std::unique_ptr<http_connection> connection, time_point deadline)
        : connection_(std::move(connection)), deadline_(deadline)
    {
    }

    net::awaitable<result<std::size_t>> read(std::span<char> into) override
    {
        auto count = co_await connection_->read(into, deadline_);
        co_return count;
    }

private:
    std::unique_ptr<http_connection> connection_;
    time_point deadline_;
};

} // namespace

router::router(router_options options)
    : options_(options), codec_(options.settings->fleet_key),
      pool_(options.settings->links, idle_connections_per_entry),
      random_(std::random_device{}())
{
}

bool router::is_isolated() const
{
    return options_.view->time_since_keeper_contact(steady_clock::now()) > isolated_after;
}

void router::record_answer(const gate_answer& answer)
{
    auto& observed = observations_[answer.member];
    observed.reached = std::max(observed.reached, answer.reached);
    observed.lag = observed.lag * 15 / 16;
    observed.avoid_until = {};
}

void router::record_failure(const member_id& member, const error& problem)
{
    auto& observed = observations_[member];
    if (problem.kind == error_kind::behind) {
        observed.lag = std::min(max_lag_estimate, observed.lag + lag_step);
    } else if (problem.kind == error_kind::unreachable ||
               problem.kind == error_kind::outcome_unknown)
    {
        observed.avoid_until = steady_clock::now() + avoidance_period;
    }
}

member_view router::describe_member(const fleet_view& view,
                                    const database_record& database,
                                    const member_record& member)
{
    const auto& settings = *options_.settings;
    const auto& observed = observations_[member.id];
    member_view described;
    described.id = member.id;
    described.is_primary = member.id == database.primary;
    described.leaving = member.condition == member_condition::leaving;
    described.reachable = !member.gate.empty() &&
                          view.state.entry(member.gate) != nullptr &&
                          steady_clock::now() >= observed.avoid_until;
    described.reached = observed.reached;
    described.lag = observed.lag;
    if (member.gate == settings.id) {
        described.distance = distance::same_entry;
    } else if (member.domain == settings.domain) {
        described.distance = distance::same_domain;
    } else if (member.region == settings.region) {
        described.distance = distance::same_region;
    }
    return described;
}

std::vector<route_step> router::plan_route(const gate_request& request,
                                           const fleet_view& view,
                                           const database_record& database)
{
    std::vector<member_view> members;
    for (const auto& [id, member] : database.members) {
        members.push_back(describe_member(view, database, member));
    }
    read_requirements need;
    need.required = request.min_position;
    need.session_consistent = !request.accepted_age;
    need.accepted_age = request.accepted_age.value_or(std::chrono::milliseconds(0));
    need.time_left = time_left(request.deadline);
    need.spread_seed = random_();
    return plan_read(need, members);
}

net::awaitable<result<gate_answer>> router::call_gate(const gate_request& request,
                                                      const entry_id& gate)
{
    if (gate == options_.settings->id) {
        auto answer = co_await options_.shards->execute(request);
        co_return answer;
    }
    auto view = options_.view->current();
    const auto* entry = view->state.entry(gate);
    if (entry == nullptr) {
        co_return fail(error_kind::unreachable, "no entry holds the gate");
    }
    auto answer = co_await forward_to_entry(request, *entry);
    co_return answer;
}

net::awaitable<result<gate_answer>> router::forward_to_entry(const gate_request& request,
                                                             const entry_record& entry)
{
    auto remote = parse_endpoint(entry.http);
    if (!remote) {
        co_return fail(error_kind::unreachable, "the gate's entry has no address");
    }
    auto deadline = request.deadline + answer_grace;
    auto connection = co_await pool_.acquire(*remote, request.deadline);
    if (!connection) {
        co_return connection.error();
    }
    auto message = to_http(request, codec_);
    auto head = co_await connection.value()->send(std::move(message), deadline);
    if (!head) {
        co_return head.error();
    }
    if (head.value().status != 200) {
        auto problem = error_from(head.value());
        auto body =
            co_await connection.value()->read_all(max_buffered_answer_bytes, deadline);
        if (body) {
            problem.detail = entry.id.str() + ": " + body.value();
        }
        pool_.release(std::move(connection.value()));
        co_return problem;
    }
    auto answer = gate_answer_from(head.value());
    if (answer.length > max_buffered_answer_bytes) {
        answer.body_stream =
            std::make_shared<forwarded_stream>(std::move(connection.value()), deadline);
        co_return answer;
    }
    auto body =
        co_await connection.value()->read_all(max_buffered_answer_bytes, deadline);
    if (!body) {
        co_return body.error();
    }
    if (!ends_with_end_marker(body.value(), request.request)) {
        co_return fail(error_kind::outcome_unknown, "the forwarded answer is incomplete");
    }
    answer.body = std::move(body.value());
    pool_.release(std::move(connection.value()));
    co_return answer;
}

// Waits before the next try. Returns false if the statement must not be retried.
net::awaitable<bool> router::wait_to_retry(const gate_request& request,
                                           const error& problem, unsigned attempt)
{
    auto wait = with_jitter(backoff(attempt, min_backoff, max_backoff),
                            std::uniform_real_distribution<>(0, 1)(random_));
    if (steady_clock::now() + wait >= request.deadline) {
        co_return false;
    }
    if (is_isolated() && attempt >= max_tries_when_isolated) {
        co_return false;
    }
    // Waiting for a new primary adds no load, as nothing was sent. Retries of statements
    // that were sent are limited by the budget.
    bool was_sent = problem.kind == error_kind::outcome_unknown ||
                    problem.kind == error_kind::overloaded;
    if (was_sent && !budget_.try_spend()) {
        co_return false;
    }
    ++retries_;
    options_.events->record({.kind = event_kind::request_retried,
                             .request = request.request,
                             .database = request.database.str(),
                             .detail = problem.str()});
    co_await pause_for(wait);
    co_return true;
}

net::awaitable<result<gate_answer>> router::read(gate_request request)
{
    budget_.record_first_attempt();
    error problem = fail(error_kind::not_found, "no database " + request.database.str());
    for (unsigned attempt = 1;; ++attempt) {
        auto view = options_.view->current();
        const auto* database = view->state.database(request.database);
        if (database == nullptr) {
            co_return problem;
        }
        auto steps = plan_route(request, *view, *database);
        if (steps.empty()) {
            problem = fail(error_kind::no_primary, "no member can answer the read now");
        }
        for (const auto& step : steps) {
            auto member_request = request;
            member_request.member = step.member;
            member_request.wait = step.max_wait;
            auto answer = co_await call_gate(member_request,
                                             database->members.at(step.member).gate);
            if (answer) {
                record_answer(answer.value());
                co_return answer;
            }
            problem = answer.error();
            record_failure(step.member, problem);
            bool try_next_member =
                is_transient(problem.kind) || problem.kind == error_kind::outcome_unknown;
            if (!try_next_member || steady_clock::now() >= request.deadline) {
                co_return problem;
            }
        }
        if (!co_await wait_to_retry(request, problem, attempt)) {
            co_return problem;
        }
    }
}

net::awaitable<result<gate_answer>> router::write(gate_request request, retry_rule rule)
{
    budget_.record_first_attempt();
    error problem = fail(error_kind::not_found, "no database " + request.database.str());
    bool may_have_run = false;
    for (unsigned attempt = 1;; ++attempt) {
        auto view = options_.view->current();
        const auto* database = view->state.database(request.database);
        if (database == nullptr) {
            co_return problem;
        }
        auto gate = database->primary_gate();
        if (gate.empty()) {
            problem = fail(error_kind::no_primary, "the database has no primary yet");
        } else {
            request.member = database->primary;
            auto answer = co_await call_gate(request, gate);
            if (answer) {
                record_answer(answer.value());
                co_return answer;
            }
            problem = answer.error();
        }
        bool unknown = problem.kind == error_kind::outcome_unknown;
        may_have_run = may_have_run || unknown;
        bool retryable = is_transient(problem.kind) ||
                         (unknown && rule != retry_rule::only_if_not_run);
        if (!retryable || !co_await wait_to_retry(request, problem, attempt)) {
            break;
        }
    }
    // The member recognizes every earlier try by the key, so these errors are conclusive.
    bool outcome_known =
        rule == retry_rule::by_key && (problem.kind == error_kind::key_conflict ||
                                       problem.kind == error_kind::statement_failed);
    if (may_have_run && !outcome_known && answer_of(problem.kind).ran == ran_state::no) {
        // The last try did not run, but an earlier one may have.
        problem = fail(error_kind::outcome_unknown, problem.str());
    }
    co_return problem;
}

net::awaitable<result<gate_answer>> router::in_transaction(gate_request request,
                                                           entry_id holder)
{
    bool held_here = holder == options_.settings->id;
    auto answer = co_await call_gate(request, holder);
    if (answer || held_here) {
        co_return answer;
    }
    bool holder_lost = answer.error().kind == error_kind::unreachable ||
                       (answer.error().kind == error_kind::outcome_unknown &&
                        request.mode != statement_mode::commit);
    if (holder_lost) {
        // Without its gate the transaction cannot be committed, and the member rolls it
        // back.
        co_return fail(error_kind::transaction_lost,
                       "the entry that held the transaction is gone: " +
                           answer.error().detail);
    }
    co_return answer;
}

} // namespace papayabridge

#include "router.hpp"

namespace papayabridge {

namespace {

constexpr std::size_t whole_answer_bytes = 64 * 1024;
constexpr std::size_t idle_connections_per_entry = 256;
constexpr std::chrono::milliseconds first_backoff{5};
constexpr std::chrono::milliseconds longest_backoff{100};
constexpr std::chrono::milliseconds avoidance{200};
constexpr std::chrono::milliseconds longest_lag{1000};
constexpr std::chrono::milliseconds lag_step{20};
// A gate on the way may need this long to answer after the deadline passed at it.
constexpr std::chrono::milliseconds answer_grace{50};
// Without word from the keepers for so long, this entry counts itself as cut off.
constexpr std::chrono::milliseconds cut_off_after{3000};
// How often a cut-off entry tries before it refuses.
constexpr unsigned tries_when_cut_off = 3;

// Whether another member, or the same one later, may answer after this error.
bool is_passing(error_kind kind)
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

// Body of a long answer that comes through another entry.
class forwarded_stream : public answer_stream
{
public:
    forwarded_stream(std::unique_ptr<http_connection> connection, time_point deadline)
        : connection_(std::move(connection)), deadline_(deadline)
    {
    }

    net::awaitable<result<std::size_t>> read(std::span<char> into) override
    {
        auto got = co_await connection_->read(into, deadline_);
        co_return got;
    }

private:
    std::unique_ptr<http_connection> connection_;
    time_point deadline_;
};

} // namespace

router::router(router_options options)
    : options_(options), key_(options.settings->fleet_key),
      pool_(options.settings->links, idle_connections_per_entry),
      random_(std::random_device{}())
{
}

bool router::is_cut_off() const
{
    return options_.view->age(steady_clock::now()) > cut_off_after;
}

void router::learn(const gate_answer& answer)
{
    auto& notes = notes_[answer.member];
    notes.reached = std::max(notes.reached, answer.reached);
    notes.lag = notes.lag * 15 / 16;
    notes.avoid_until = {};
}

void router::learn(const member_id& member, const error& problem)
{
    auto& notes = notes_[member];
    if (problem.kind == error_kind::behind) {
        notes.lag = std::min(longest_lag, notes.lag + lag_step);
    } else if (problem.kind == error_kind::unreachable ||
               problem.kind == error_kind::outcome_unknown)
    {
        notes.avoid_until = steady_clock::now() + avoidance;
    }
}

member_view router::view_of(const fleet_view& view, const database_record& database,
                            const member_record& member)
{
    const auto& settings = *options_.settings;
    const auto& notes = notes_[member.id];
    member_view seen;
    seen.id = member.id;
    seen.is_primary = member.id == database.primary;
    seen.leaving = member.condition == member_condition::leaving;
    seen.reachable = !member.gate.empty() && view.state.entry(member.gate) != nullptr &&
                     steady_clock::now() >= notes.avoid_until;
    seen.reached = notes.reached;
    seen.lag = notes.lag;
    if (member.gate == settings.id) {
        seen.distance = distance::same_entry;
    } else if (member.domain == settings.domain) {
        seen.distance = distance::same_domain;
    } else if (member.region == settings.region) {
        seen.distance = distance::same_region;
    }
    return seen;
}

std::vector<route_step> router::plan(const gate_request& request, const fleet_view& view,
                                     const database_record& database)
{
    std::vector<member_view> members;
    for (const auto& [id, member] : database.members) {
        members.push_back(view_of(view, database, member));
    }
    read_requirements need;
    need.required = request.min_position;
    need.session_consistent = !request.accepted_age;
    need.accepted_age = request.accepted_age.value_or(std::chrono::milliseconds(0));
    need.time_left = time_left(request.deadline);
    need.spread_seed = random_();
    return plan_read(need, members);
}

net::awaitable<result<gate_answer>> router::call(const gate_request& request,
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
    auto answer = co_await forward(request, *entry);
    co_return answer;
}

net::awaitable<result<gate_answer>> router::forward(const gate_request& request,
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
    auto message = to_http(request, key_);
    auto head = co_await connection.value()->send(std::move(message), deadline);
    if (!head) {
        co_return head.error();
    }
    if (head.value().status != 200) {
        auto problem = error_from(head.value());
        auto body = co_await connection.value()->read_all(whole_answer_bytes, deadline);
        if (body) {
            problem.detail = entry.id.str() + ": " + body.value();
        }
        pool_.release(std::move(connection.value()));
        co_return problem;
    }
    auto answer = gate_answer_from(head.value());
    if (answer.length > whole_answer_bytes) {
        answer.rest =
            std::make_shared<forwarded_stream>(std::move(connection.value()), deadline);
        co_return answer;
    }
    auto body = co_await connection.value()->read_all(whole_answer_bytes, deadline);
    if (!body) {
        co_return body.error();
    }
    if (!ends_with_mark(body.value(), request.request)) {
        co_return fail(error_kind::outcome_unknown, "the forwarded answer is not whole");
    }
    answer.body = std::move(body.value());
    pool_.release(std::move(connection.value()));
    co_return answer;
}

// Waits before the next try. False if there should be none.
net::awaitable<bool> router::may_retry(const gate_request& request, const error& problem,
                                       unsigned attempt)
{
    auto wait = with_jitter(backoff(attempt, first_backoff, longest_backoff),
                            std::uniform_real_distribution<>(0, 1)(random_));
    if (steady_clock::now() + wait >= request.deadline) {
        co_return false;
    }
    if (is_cut_off() && attempt >= tries_when_cut_off) {
        co_return false;
    }
    // Waiting for a new primary adds no load, as nothing was sent; the rest is limited.
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
        auto steps = plan(request, *view, *database);
        if (steps.empty()) {
            problem = fail(error_kind::no_primary, "no member can answer it now");
        }
        for (const auto& step : steps) {
            auto asked = request;
            asked.member = step.member;
            asked.wait = step.max_wait;
            auto answer = co_await call(asked, database->members.at(step.member).gate);
            if (answer) {
                learn(answer.value());
                co_return answer;
            }
            problem = answer.error();
            learn(step.member, problem);
            bool elsewhere =
                is_passing(problem.kind) || problem.kind == error_kind::outcome_unknown;
            if (!elsewhere || steady_clock::now() >= request.deadline) {
                co_return problem;
            }
        }
        if (!co_await may_retry(request, problem, attempt)) {
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
            auto answer = co_await call(request, gate);
            if (answer) {
                learn(answer.value());
                co_return answer;
            }
            problem = answer.error();
        }
        bool unknown = problem.kind == error_kind::outcome_unknown;
        may_have_run = may_have_run || unknown;
        bool again =
            is_passing(problem.kind) || (unknown && rule != retry_rule::only_unsent);
        if (!again || !co_await may_retry(request, problem, attempt)) {
            break;
        }
    }
    // By its key the member knows of every earlier try, so that these are the truth.
    bool known =
        rule == retry_rule::by_key && (problem.kind == error_kind::key_conflict ||
                                       problem.kind == error_kind::statement_failed);
    if (may_have_run && !known && answer_of(problem.kind).ran == ran_state::no) {
        // An earlier try may have run, whatever became of the last one.
        problem = fail(error_kind::outcome_unknown, problem.str());
    }
    co_return problem;
}

net::awaitable<result<gate_answer>> router::in_transaction(gate_request request,
                                                           entry_id holder)
{
    bool here = holder == options_.settings->id;
    auto answer = co_await call(request, holder);
    if (answer || here) {
        co_return answer;
    }
    bool gone = answer.error().kind == error_kind::unreachable ||
                (answer.error().kind == error_kind::outcome_unknown &&
                 request.mode != statement_mode::commit);
    if (gone) {
        // Without its gate nobody can commit it, and the member rolls it back.
        co_return fail(error_kind::transaction_lost,
                       "the entry that held the transaction is gone: " +
                           answer.error().detail);
    }
    co_return answer;
}

} // namespace papayabridge

#include "transition_driver.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds call_timeout{500};
constexpr std::chrono::milliseconds unplanned_release_timeout{150};
constexpr std::chrono::milliseconds planned_release_timeout{1000};
constexpr std::chrono::milliseconds release_retry_delay{100};
// A planned transition waits this long for a gate to become idle between statements.
// After that the gate is forced: it starts no new statement until the others have
// finished.
constexpr std::chrono::milliseconds graceful_release_limit{5000};
constexpr std::chrono::milliseconds forced_release_timeout{35000};
constexpr std::chrono::milliseconds catch_up_timeout{2000};
constexpr std::chrono::milliseconds catch_up_poll{5};
constexpr std::chrono::milliseconds round_retry_delay{50};
constexpr std::chrono::milliseconds publish_timeout{2000};
constexpr std::size_t max_report_bytes = 4096;

} // namespace

transition_driver::transition_driver(net::any_io_executor executor,
                                     transition_driver_options options)
    : executor_(std::move(executor)), options_(std::move(options)), pool_(options_.links)
{
}

void transition_driver::record_event(event_kind kind, const database_record& record,
                                     std::string detail)
{
    options_.events->record(
        {.kind = kind, .database = record.key.str(), .detail = std::move(detail)});
}

std::optional<database_record>
transition_driver::current_transition(const database_key& database, term to) const
{
    auto view = options_.view->current();
    const auto* record = view->state.database(database);
    bool driven_here = record != nullptr && record->pending &&
                       record->pending->term == to &&
                       record->pending->driver == options_.self;
    return driven_here ? std::optional(*record) : std::nullopt;
}

void transition_driver::start_transitions()
{
    auto view = options_.view->current();
    for (const auto& [key, record] : view->state.databases()) {
        bool driven_here = record.pending && record.pending->driver == options_.self;
        if (driven_here && driving_.insert(key).second) {
            net::co_spawn(executor_, run_transition(key, record.pending->term),
                          net::detached);
        }
    }
}

net::awaitable<void> transition_driver::run_transition(database_key database, term to)
{
    while (auto record = current_transition(database, to)) {
        static_cast<void>(co_await attempt_transition(*record));
        // After a success the next view ends the loop; otherwise this is a new attempt.
        co_await pause_for(round_retry_delay);
    }
    driving_.erase(database);
    start_transitions();
}

net::awaitable<bool> transition_driver::attempt_transition(const database_record& record)
{
    auto to = record.pending->term;
    record_event(event_kind::transition_begun, record,
                 "term " + std::to_string(to.value()) + ": " +
                     std::string(to_string(record.pending->reason)));
    bool released = co_await release_gates(record);
    if (released && record.pending->reason == transition_reason::member_leaving) {
        co_await wait_for_catch_up(record);
    }
    if (!current_transition(record.key, to)) {
        co_return true;
    }
    auto fenced = co_await fence_members(record);
    if (fenced.size() < record.fencing_quorum()) {
        co_return false;
    }
    auto fenced_at = steady_clock::now();
    record_event(event_kind::majority_fenced, record,
                 std::to_string(fenced.size()) + " of " +
                     std::to_string(record.group_size) + " members accepted term " +
                     std::to_string(to.value()));
    const auto* chosen = choose_primary(record, fenced);
    if (chosen == nullptr) {
        co_return false;
    }
    record_event(event_kind::primary_chosen, record,
                 chosen->id.str() + " at " + chosen->reached.str() +
                     " has the highest position");
    if (!released && record.term != term()) {
        auto idle = lease_length;
        for (const auto& member : fenced) {
            idle = std::min(idle, member.idle);
        }
        // The old gate may answer until the lease that it gained before the fence
        // expires.
        co_await pause_for(fenced_at + lease_length - idle - steady_clock::now());
    }
    auto chosen_id = chosen->id;
    bool promoted = co_await promote(record, chosen_id);
    if (!promoted) {
        co_return false;
    }
    complete_transition completion;
    completion.database = record.key;
    completion.term = to;
    completion.primary = chosen_id;
    if (record.term == term()) {
        for (const auto& member : fenced) {
            completion.founders.insert(member.id);
        }
    }
    command change = completion;
    auto published =
        co_await options_.keepers->propose(change, steady_clock::now() + publish_timeout);
    bool accepted = published && published.value().accepted;
    if (accepted) {
        record_event(event_kind::transition_completed, record,
                     chosen_id.str() + " is the primary under term " +
                         std::to_string(to.value()));
    }
    co_return accepted;
}

// --- Release ---

net::awaitable<bool> transition_driver::release_gates_at(entry_id gate,
                                                         database_key database, term to,
                                                         bool force, time_point deadline)
{
    if (gate == options_.self) {
        bool released = co_await options_.shards->release(database, to, force, deadline);
        co_return released;
    }
    auto view = options_.view->current();
    const auto* entry = view->state.entry(gate);
    auto remote = entry == nullptr ? std::nullopt : parse_endpoint(entry->rpc);
    if (!remote) {
        co_return false;
    }
    rpc_message message;
    message.body["database"] = database.str();
    message.body["term"] = Json::UInt64(to.value());
    message.body["force"] = force;
    auto answer = co_await options_.clients->client_to(*remote).call(
        "gate.release", std::move(message), deadline);
    co_return answer&& flag_of(answer.value().body, "released");
}

// Returns whether the old primary's gate stopped, so that its lease need not expire
// first.
net::awaitable<bool> transition_driver::release_gates(const database_record& record)
{
    auto to = record.pending->term;
    std::set<entry_id> gates;
    for (const auto& [id, member] : record.members) {
        gates.insert(member.gate);
    }
    auto primary_gate = record.primary_gate();
    bool planned = record.pending->planned;
    auto began = steady_clock::now();
    bool primary_released = false;
    for (const auto& gate : gates) {
        bool released = gate.empty();
        while (!released) {
            auto now = steady_clock::now();
            bool force = !planned || now - began > graceful_release_limit;
            auto timeout = !planned ? unplanned_release_timeout
                           : force  ? forced_release_timeout
                                    : planned_release_timeout;
            released =
                co_await release_gates_at(gate, record.key, to, force, now + timeout);
            if (!planned || !current_transition(record.key, to)) {
                break;
            }
            if (!released) {
                co_await pause_for(release_retry_delay);
            }
        }
        primary_released = primary_released || (gate == primary_gate && released);
    }
    co_return primary_released;
}

// --- Catching up ---

net::awaitable<position> transition_driver::query_position(member_record member)
{
    position reached;
    auto endpoint = parse_endpoint(member.endpoint);
    if (!endpoint) {
        co_return reached;
    }
    auto message = make_request(http::verb::get, "/control/position");
    auto answer =
        co_await pool_.call(*endpoint, std::move(message), max_report_bytes,
                            steady_clock::now() + call_timeout, traffic_cause::control);
    if (!answer) {
        co_return reached;
    }
    auto report = parse_json(answer.value().body());
    if (report) {
        reached = parse_position(text_of(report.value(), "position")).value_or(reached);
    }
    co_return reached;
}

// Called after writes have stopped. Waits until a member that stays has reached the
// position of the leaving primary.
net::awaitable<void> transition_driver::wait_for_catch_up(const database_record& record)
{
    auto primary = record.members.find(record.primary);
    if (primary == record.members.end()) {
        co_return;
    }
    auto target = co_await query_position(primary->second);
    auto until = steady_clock::now() + catch_up_timeout;
    while (steady_clock::now() < until) {
        for (const auto& [id, member] : record.members) {
            if (member.condition != member_condition::serving) {
                continue;
            }
            auto reached = co_await query_position(member);
            if (reached >= target) {
                co_return;
            }
        }
        co_await pause_for(catch_up_poll);
    }
}

// --- Fencing and choice of the primary ---

net::awaitable<std::optional<transition_driver::fenced_member>>
transition_driver::fence_member(member_record member, term to, bool founding)
{
    std::optional<fenced_member> none;
    auto endpoint = parse_endpoint(member.endpoint);
    if (!endpoint) {
        co_return none;
    }
    Json::Value order;
    order["term"] = Json::UInt64(to.value());
    order["founding"] = founding;
    auto message = make_request(http::verb::post, "/control/fence", to_json(order));
    auto answer =
        co_await pool_.call(*endpoint, std::move(message), max_report_bytes,
                            steady_clock::now() + call_timeout, traffic_cause::control);
    if (!answer || answer.value().result_int() != 200) {
        co_return none;
    }
    auto report = parse_json(answer.value().body());
    if (!report) {
        co_return none;
    }
    auto reached = parse_position(text_of(report.value(), "position"));
    if (!reached) {
        co_return none;
    }
    fenced_member fenced;
    fenced.id = member.id;
    fenced.reached = *reached;
    fenced.idle = std::chrono::milliseconds(number_of(report.value(), "idle_ms"));
    fenced.complete =
        !report.value().isMember("complete") || flag_of(report.value(), "complete");
    co_return fenced;
}

// State of the concurrent fence calls to all members.
struct transition_driver::fence_round
{
    std::vector<fenced_member> fenced;
    std::size_t unanswered = 0;
    change_notifier changed;
};

net::awaitable<void> transition_driver::fence_in_round(std::shared_ptr<fence_round> round,
                                                       member_record member,
                                                       database_record record)
{
    bool founding = record.term == term();
    bool admitted = member.admitted;
    auto fenced =
        co_await fence_member(std::move(member), record.pending->term, founding);
    // A member that was never admitted, or that lost its data, may lack acknowledged
    // writes and does not count.
    if (fenced && (founding || (admitted && fenced->complete))) {
        round->fenced.push_back(*fenced);
    }
    --round->unanswered;
    round->changed.notify();
}

net::awaitable<std::vector<transition_driver::fenced_member>>
transition_driver::fence_members(const database_record& record)
{
    auto round = std::make_shared<fence_round>();
    for (const auto& [id, member] : record.members) {
        ++round->unanswered;
        net::co_spawn(executor_, fence_in_round(round, member, record), net::detached);
    }
    auto deadline = steady_clock::now() + call_timeout * 2;
    // A lost member does not answer. Once enough members did, the others get a short
    // time.
    constexpr std::chrono::milliseconds straggler_wait{30};
    std::optional<time_point> enough_since;
    while (round->unanswered > 0 && steady_clock::now() < deadline) {
        bool enough = round->fenced.size() >= record.fencing_quorum();
        if (enough && !enough_since) {
            enough_since = steady_clock::now();
        }
        auto until = enough ? *enough_since + straggler_wait : deadline;
        if (enough && steady_clock::now() >= until) {
            break;
        }
        co_await round->changed.wait(until);
    }
    co_return round->fenced;
}

const transition_driver::fenced_member*
transition_driver::choose_primary(const database_record& record,
                                  const std::vector<fenced_member>& fenced) const
{
    auto view = options_.view->current();
    const fenced_member* best = nullptr;
    // Among the members with the highest position: one that stays, then one whose next
    // gate is up, then the present primary.
    auto preference = [&](const fenced_member& candidate) {
        const auto& member = record.members.at(candidate.id);
        auto gate = record.pending->gates.find(candidate.id);
        const auto* entry = gate == record.pending->gates.end()
                                ? nullptr
                                : view->state.entry(gate->second);
        bool stays = member.condition == member_condition::serving;
        bool served = entry != nullptr && entry->condition == entry_condition::up;
        return std::tuple(candidate.reached, stays, served,
                          candidate.id == record.primary);
    };
    for (const auto& candidate : fenced) {
        if (best == nullptr || preference(candidate) > preference(*best)) {
            best = &candidate;
        }
    }
    return best;
}

// --- Promotion ---

net::awaitable<bool> transition_driver::promote(const database_record& record,
                                                const member_id& chosen)
{
    const auto& member = record.members.at(chosen);
    auto endpoint = parse_endpoint(member.endpoint);
    Json::Value order;
    order["term"] = Json::UInt64(record.pending->term.value());
    auto message = make_request(http::verb::post, "/control/promote", to_json(order));
    auto answer =
        co_await pool_.call(*endpoint, std::move(message), max_report_bytes,
                            steady_clock::now() + call_timeout, traffic_cause::control);
    if (!answer || answer.value().result_int() != 200) {
        co_return false;
    }
    record_event(event_kind::primary_promoted, record, chosen.str() + " was promoted");
    co_return true;
}

} // namespace papayabridge

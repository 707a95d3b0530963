#include "transition_driver.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds call_timeout{500};
constexpr std::chrono::milliseconds unplanned_release_timeout{150};
constexpr std::chrono::milliseconds planned_release_timeout{1000};
constexpr std::chrono::milliseconds release_retry{100};
// Work that stays in progress for so long no longer holds up a planned move: nothing new
// starts until it has finished.
constexpr std::chrono::milliseconds release_patience{5000};
constexpr std::chrono::milliseconds forced_release_timeout{35000};
constexpr std::chrono::milliseconds catch_up_timeout{2000};
constexpr std::chrono::milliseconds catch_up_poll{5};
constexpr std::chrono::milliseconds round_retry{50};
constexpr std::chrono::milliseconds publish_timeout{2000};
constexpr std::size_t longest_report = 4096;

} // namespace

transition_driver::transition_driver(net::any_io_executor executor,
                                     transition_driver_options options)
    : executor_(std::move(executor)), options_(std::move(options)), pool_(options_.links)
{
}

void transition_driver::note(event_kind kind, const database_record& record,
                             std::string detail)
{
    options_.events->record(
        {.kind = kind, .database = record.key.str(), .detail = std::move(detail)});
}

std::optional<database_record>
transition_driver::still_intended(const database_key& database, term to) const
{
    auto view = options_.view->current();
    const auto* record = view->state.database(database);
    bool mine = record != nullptr && record->pending && record->pending->term == to &&
                record->pending->driver == options_.self;
    return mine ? std::optional(*record) : std::nullopt;
}

void transition_driver::look()
{
    auto view = options_.view->current();
    for (const auto& [key, record] : view->state.databases()) {
        bool mine = record.pending && record.pending->driver == options_.self;
        if (mine && driving_.insert(key).second) {
            net::co_spawn(executor_, drive(key, record.pending->term), net::detached);
        }
    }
}

net::awaitable<void> transition_driver::drive(database_key database, term to)
{
    while (auto record = still_intended(database, to)) {
        static_cast<void>(co_await drive_once(*record));
        // Either the view follows soon, or the next round starts.
        co_await pause_for(round_retry);
    }
    driving_.erase(database);
    look();
}

net::awaitable<bool> transition_driver::drive_once(const database_record& record)
{
    auto to = record.pending->term;
    note(event_kind::transition_begun, record,
         "term " + std::to_string(to.value()) + ": " +
             std::string(to_string(record.pending->reason)));
    bool released = co_await release_gates(record);
    if (released && record.pending->reason == transition_reason::member_leaving) {
        co_await catch_up(record);
    }
    if (!still_intended(record.key, to)) {
        co_return true;
    }
    auto fenced = co_await fence(record);
    if (fenced.size() < record.fencing_quorum()) {
        co_return false;
    }
    auto fenced_at = steady_clock::now();
    note(event_kind::majority_fenced, record,
         std::to_string(fenced.size()) + " of " + std::to_string(record.group_size) +
             " members accepted term " + std::to_string(to.value()));
    const auto* chosen = choose(record, fenced);
    if (chosen == nullptr) {
        co_return false;
    }
    note(event_kind::primary_chosen, record,
         chosen->id.str() + " at " + chosen->reached.str() + " is the furthest");
    if (!released && record.term != term()) {
        auto idle = lease_length;
        for (const auto& member : fenced) {
            idle = std::min(idle, member.idle);
        }
        // The old gate may answer until its lease, proved before the fence, has run out.
        co_await pause_for(fenced_at + lease_length - idle - steady_clock::now());
    }
    auto chosen_id = chosen->id;
    bool promoted = co_await promote(record, chosen_id);
    if (!promoted) {
        co_return false;
    }
    complete_transition done;
    done.database = record.key;
    done.term = to;
    done.primary = chosen_id;
    if (record.term == term()) {
        for (const auto& member : fenced) {
            done.founders.insert(member.id);
        }
    }
    command change = done;
    auto published =
        co_await options_.keepers->propose(change, steady_clock::now() + publish_timeout);
    bool accepted = published && published.value().accepted;
    if (accepted) {
        note(event_kind::transition_completed, record,
             chosen_id.str() + " is the primary under term " +
                 std::to_string(to.value()));
    }
    co_return accepted;
}

// --- Release ---

net::awaitable<bool> transition_driver::release_at(entry_id gate, database_key database,
                                                   term to, bool force,
                                                   time_point deadline)
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

// Whether the old primary's gate stopped, so that its lease need not run out.
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
            bool force = !planned || now - began > release_patience;
            auto timeout = !planned ? unplanned_release_timeout
                           : force  ? forced_release_timeout
                                    : planned_release_timeout;
            released = co_await release_at(gate, record.key, to, force, now + timeout);
            if (!planned || !still_intended(record.key, to)) {
                break;
            }
            if (!released) {
                co_await pause_for(release_retry);
            }
        }
        primary_released = primary_released || (gate == primary_gate && released);
    }
    co_return primary_released;
}

// --- Catching up ---

net::awaitable<position> transition_driver::position_of(member_record member)
{
    position reached;
    auto endpoint = parse_endpoint(member.endpoint);
    if (!endpoint) {
        co_return reached;
    }
    auto message = make_request(http::verb::get, "/control/position");
    auto answer =
        co_await pool_.call(*endpoint, std::move(message), longest_report,
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

// Writes have stopped: waits until a member that stays holds all that the leaving primary
// holds.
net::awaitable<void> transition_driver::catch_up(const database_record& record)
{
    auto primary = record.members.find(record.primary);
    if (primary == record.members.end()) {
        co_return;
    }
    auto target = co_await position_of(primary->second);
    auto until = steady_clock::now() + catch_up_timeout;
    while (steady_clock::now() < until) {
        for (const auto& [id, member] : record.members) {
            if (member.condition != member_condition::serving) {
                continue;
            }
            auto reached = co_await position_of(member);
            if (reached >= target) {
                co_return;
            }
        }
        co_await pause_for(catch_up_poll);
    }
}

// --- Fence and choice ---

net::awaitable<std::optional<transition_driver::fenced_member>>
transition_driver::fence_one(member_record member, term to, bool founding)
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
        co_await pool_.call(*endpoint, std::move(message), longest_report,
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

// The calls to all members run side by side.
struct transition_driver::fence_round
{
    std::vector<fenced_member> fenced;
    std::size_t open = 0;
    signal_list changed;
};

net::awaitable<void> transition_driver::fence_into(std::shared_ptr<fence_round> round,
                                                   member_record member,
                                                   database_record record)
{
    bool founding = record.term == term();
    bool admitted = member.admitted;
    auto fenced = co_await fence_one(std::move(member), record.pending->term, founding);
    // One that was never admitted, or lost its data, proves nothing about past writes.
    if (fenced && (founding || (admitted && fenced->complete))) {
        round->fenced.push_back(*fenced);
    }
    --round->open;
    round->changed.notify();
}

net::awaitable<std::vector<transition_driver::fenced_member>>
transition_driver::fence(const database_record& record)
{
    auto all = std::make_shared<fence_round>();
    for (const auto& [id, member] : record.members) {
        ++all->open;
        net::co_spawn(executor_, fence_into(all, member, record), net::detached);
    }
    auto deadline = steady_clock::now() + call_timeout * 2;
    // A lost member answers nothing; enough suffice after a short wait for the rest.
    constexpr std::chrono::milliseconds wait_for_the_rest{30};
    std::optional<time_point> enough_since;
    while (all->open > 0 && steady_clock::now() < deadline) {
        bool enough = all->fenced.size() >= record.fencing_quorum();
        if (enough && !enough_since) {
            enough_since = steady_clock::now();
        }
        auto until = enough ? *enough_since + wait_for_the_rest : deadline;
        if (enough && steady_clock::now() >= until) {
            break;
        }
        co_await all->changed.wait(until);
    }
    co_return all->fenced;
}

const transition_driver::fenced_member*
transition_driver::choose(const database_record& record,
                          const std::vector<fenced_member>& fenced) const
{
    auto view = options_.view->current();
    const fenced_member* best = nullptr;
    // Among the furthest: one that stays, the present primary, one whose gate is up.
    auto preference = [&](const fenced_member& one) {
        const auto& member = record.members.at(one.id);
        auto gate = record.pending->gates.find(one.id);
        const auto* entry = gate == record.pending->gates.end()
                                ? nullptr
                                : view->state.entry(gate->second);
        bool stays = member.condition == member_condition::serving;
        bool served = entry != nullptr && entry->condition == entry_condition::up;
        return std::tuple(one.reached, stays, served, one.id == record.primary);
    };
    for (const auto& one : fenced) {
        if (best == nullptr || preference(one) > preference(*best)) {
            best = &one;
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
        co_await pool_.call(*endpoint, std::move(message), longest_report,
                            steady_clock::now() + call_timeout, traffic_cause::control);
    if (!answer || answer.value().result_int() != 200) {
        co_return false;
    }
    note(event_kind::primary_promoted, record, chosen.str() + " was promoted");
    co_return true;
}

} // namespace papayabridge

#include <papayabridge/events.hpp>
#include <papayabridge/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace papayabridge {

namespace {

constexpr unsigned counter_bits = 16;

std::uint64_t wall_stamp()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return static_cast<std::uint64_t>(ms) << counter_bits;
}

constexpr std::array<std::string_view, 33> kind_names{"process_started",
                                                      "process_stopping",
                                                      "configuration_accepted",
                                                      "configuration_refused",
                                                      "configuration_in_force",
                                                      "leader_elected",
                                                      "leader_stepped_down",
                                                      "keeper_joined",
                                                      "entry_joined",
                                                      "entry_lost",
                                                      "entry_draining",
                                                      "member_announced",
                                                      "member_leaving",
                                                      "member_unreachable",
                                                      "member_reachable",
                                                      "transition_begun",
                                                      "gate_released",
                                                      "majority_fenced",
                                                      "primary_chosen",
                                                      "primary_promoted",
                                                      "transition_completed",
                                                      "gate_opened",
                                                      "gate_closed",
                                                      "lease_lost",
                                                      "lease_gained",
                                                      "request_received",
                                                      "request_queued",
                                                      "request_sent",
                                                      "request_retried",
                                                      "request_answered",
                                                      "request_refused",
                                                      "storage_failed",
                                                      "fault_injected"};
static_assert(kind_names.size() ==
              static_cast<std::size_t>(event_kind::fault_injected) + 1);

bool changes_state(event_kind kind)
{
    return kind < event_kind::request_received || kind > event_kind::request_refused;
}

} // namespace

std::string_view to_string(event_kind kind) noexcept
{
    return kind_names[static_cast<std::size_t>(kind)];
}

hybrid_clock& hybrid_clock::process()
{
    static hybrid_clock clock;
    return clock;
}

std::uint64_t hybrid_clock::tick()
{
    auto last = last_.load();
    std::uint64_t next = 0;
    do {
        next = std::max(last + 1, wall_stamp());
    } while (!last_.compare_exchange_weak(last, next));
    return next;
}

void hybrid_clock::observe(std::uint64_t stamp)
{
    auto last = last_.load();
    while (last < stamp && !last_.compare_exchange_weak(last, stamp)) {
    }
}

event_log::event_log(std::string process, std::size_t most)
    : process_(std::move(process)), capacity_(most)
{
}

void event_log::set_sink(std::function<void(std::string_view)> sink)
{
    std::lock_guard lock(mutex_);
    sink_ = std::move(sink);
}

Json::Value event_log::to_value(const event& happened) const
{
    Json::Value value;
    value["stamp"] = Json::UInt64(happened.stamp);
    value["process"] = process_;
    value["event"] = std::string(to_string(happened.kind));
    value["request"] = happened.request.str();
    value["database"] = happened.database;
    value["detail"] = happened.detail;
    return value;
}

void event_log::record(event happened)
{
    happened.stamp = hybrid_clock::process().tick();
    std::lock_guard lock(mutex_);
    if (sink_ && changes_state(happened.kind)) {
        sink_(to_json(to_value(happened)));
    }
    events_.push_back(std::move(happened));
    if (events_.size() > capacity_) {
        events_.pop_front();
    }
}

Json::Value event_log::list(std::uint64_t after, const request_id& request) const
{
    std::lock_guard lock(mutex_);
    Json::Value all(Json::arrayValue);
    for (const auto& happened : events_) {
        bool wanted = request.empty() || happened.request == request;
        if (happened.stamp > after && wanted) {
            all.append(to_value(happened));
        }
    }
    return all;
}

} // namespace papayabridge

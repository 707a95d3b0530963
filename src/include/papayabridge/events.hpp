/// \file events.hpp
/// Typed events of one process, ordered across processes by a hybrid logical clock.

#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <json/value.h>
#include <mutex>
#include <papayabridge/ids.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// A hybrid logical clock: follows the wall clock and is never behind the stamp of a
/// received message. The upper 48 bits are milliseconds since 1970, the lower 16 a
/// counter. Thread-safe.
class hybrid_clock
{
public:
    /// The clock of this process.
    static hybrid_clock& process();

    /// Returns a stamp greater than all returned or observed before.
    std::uint64_t tick();
    /// Advances the clock to at least the stamp of a received message.
    void observe(std::uint64_t stamp);

private:
    std::atomic<std::uint64_t> last_{0};
};

/// The type of an event. The list is closed.
enum class event_kind
{
    process_started,
    process_stopping,
    configuration_accepted,
    configuration_refused,
    configuration_in_force,
    leader_elected,
    leader_stepped_down,
    keeper_joined,
    entry_joined,
    entry_lost,
    entry_draining,
    member_announced,
    member_leaving,
    member_unreachable,
    member_reachable,
    transition_begun,
    gate_released,
    majority_fenced,
    primary_chosen,
    primary_promoted,
    transition_completed,
    gate_opened,
    gate_closed,
    lease_lost,
    lease_gained,
    request_received,
    request_queued,
    request_sent,
    request_retried,
    request_answered,
    request_refused,
    storage_failed,
    fault_injected,
};
/// The name of \p kind as it is written, in snake_case.
std::string_view to_string(event_kind kind) noexcept;

/// An event.
struct event
{
    event_kind kind;
    /// The request concerned; may be empty.
    papayabridge::request_id request;
    /// The database concerned, as "service/database"; may be empty.
    std::string database;
    /// What was done and why, in one sentence.
    std::string detail;
    /// Set by event_log::record().
    std::uint64_t stamp = 0;
};

/// Keeps the latest events in memory and can pass state changes on. Thread-safe.
class event_log
{
public:
    explicit event_log(std::string process, std::size_t most = 20000);

    /// Passes state changes, as JSON in one line, to \p sink from now on. It must not
    /// block.
    void set_sink(std::function<void(std::string_view)> sink);
    /// Stamps and records \p happened. Request events are never passed to the sink.
    void record(event happened);
    /// Events with a stamp after \p after, as a JSON array; only those of \p request if
    /// it is not empty.
    Json::Value list(std::uint64_t after, const request_id& request) const;
    const std::string& process() const noexcept { return process_; }

private:
    Json::Value to_value(const event& happened) const;

    std::string process_;
    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<event> events_;
    std::function<void(std::string_view)> sink_;
};

} // namespace papayabridge

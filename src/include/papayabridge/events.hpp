/// \file events.hpp
/// The time line: typed events of one process, ordered over all processes by a hybrid
/// logical clock.

#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <fstream>
#include <json/value.h>
#include <mutex>
#include <papayabridge/ids.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// A clock that follows the wall clock and never runs behind any message seen. The
/// upper 48 bits are milliseconds since 1970, the lower 16 a counter.
class hybrid_clock
{
public:
    /// The clock of this process.
    static hybrid_clock& process();

    /// A stamp later than all before.
    std::uint64_t tick();
    /// Moves past the stamp of a received message.
    void observe(std::uint64_t stamp);

private:
    std::atomic<std::uint64_t> last_{0};
};

/// What happened. Closed list.
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
/// The kind as a lower-case word.
std::string_view to_string(event_kind kind) noexcept;

/// One event.
struct event
{
    event_kind kind;
    /// Request it belongs to; may be empty.
    papayabridge::request_id request;
    /// Database it belongs to, as "service/database"; may be empty.
    std::string database;
    /// One sentence: what was done and why.
    std::string detail;
    /// Set by event_log.
    std::uint64_t stamp = 0;
};

/// Keeps the latest events in memory and, where a file is given, appends those that
/// change state to it. Thread-safe.
class event_log
{
public:
    explicit event_log(std::string process, std::size_t most = 20000);

    /// Appends state changes to \p file from now on.
    void append_to_file(const std::string& file);
    /// Records \p happened. Request events stay in memory only.
    void record(event happened);
    /// Events with a stamp after \p after, as a JSON list; those of \p request only, if
    /// it is not empty.
    Json::Value list(std::uint64_t after, const request_id& request) const;
    const std::string& process() const noexcept { return process_; }

private:
    Json::Value to_value(const event& happened) const;

    std::string process_;
    std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<event> events_;
    std::ofstream file_;
};

} // namespace papayabridge

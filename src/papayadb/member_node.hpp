/// \file member_node.hpp
/// One member as a process part: its state, file, slots and counters, shared by the
/// data calls, the control calls, replication and announcing. One thread.

#pragma once

#include "journal.hpp"
#include "member_settings.hpp"
#include "member_state.hpp"
#include "notifier.hpp"

#include <map>
#include <set>

namespace papayadb {

/// Counters for `GET /stats`.
struct member_stats
{
    std::uint64_t statements = 0;
    std::uint64_t writes = 0;
    /// Reads answered as the primary, and as a replica.
    std::uint64_t reads_as_primary = 0;
    std::uint64_t reads_as_replica = 0;
    std::uint64_t replays = 0;
    std::uint64_t max_concurrent = 0;
    std::uint64_t max_connections = 0;
    std::uint64_t new_connections = 0;
    std::uint64_t refused_busy = 0;
    std::uint64_t refused_connections = 0;
    std::uint64_t rolled_back = 0;
    /// Requests that came later than the time to leave.
    std::uint64_t late_after_leaving = 0;
};

/// A transaction open on one connection.
struct open_transaction
{
    papayabridge::term gate;
    statement_list statements;
};

/// One data connection.
struct data_connection
{
    std::optional<open_transaction> transaction;
};

/// All that one member's parts share.
struct member_node
{
    explicit member_node(member_settings own, member_faults behaviour)
        : settings(std::move(own)), faults(behaviour)
    {
    }

    /// Whether it announced that it leaves.
    bool leaving() const noexcept { return left_at.has_value(); }
    /// Starts to leave; nothing changes the second time.
    void leave();
    /// Keeps a promise about terms or entries, then wakes all that wait.
    void keep_and_wake();
    /// Waits for a slot; false after the longest wait.
    net::awaitable<bool> take_slot();
    void give_slot();
    /// Transactions open on all connections.
    std::size_t open_transactions() const;
    /// Whether nothing is open or running.
    bool quiet() const;

    /// How long ago a gate's probe was last answered.
    std::chrono::milliseconds idle() const;

    member_settings settings;
    member_faults faults;
    member_state state;
    journal file;
    /// The accepted term that the file holds.
    papayabridge::term kept_term;
    member_stats stats;
    /// Wakes on each change of state, slot or key.
    notifier changed;
    std::map<endpoint, data_connection> connections;
    std::set<std::string> keys_in_progress;
    std::uint64_t running = 0;
    std::uint64_t in_progress = 0;
    std::optional<time_point> left_at;
    /// Whether it has held, since it last started without data, all that a primary held.
    bool complete = false;
    /// The highest term under which its log was matched with the primary's.
    papayabridge::term matched_term;
    /// When a gate's probe was last answered.
    time_point probed_at = steady_clock::now();
    /// When each entry of the log was written here, for the lag of replicas.
    std::vector<time_point> written_at;
};

} // namespace papayadb

/// \file applied_state.hpp
/// The replicated control state as of the last applied command, and the watchers that
/// wait for the next one.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <papayabridge/keeper_client.hpp>
#include <set>

namespace papayabridge {

/// Applies accepted commands and serves watchers. Single thread.
class applied_state
{
public:
    explicit applied_state(net::any_io_executor executor);

    /// Applies \p change, accepted at \p index.
    command_outcome apply(control_index index, const command& change);
    /// Counts a log entry without a command as applied.
    void advance(control_index index);
    /// Replaces the state by a snapshot taken at \p index.
    void install(control_index index, control_state state);

    /// What a watcher needs whose last applied command is at \p from: the later commands,
    /// or a snapshot if they are no longer kept or too many.
    watch_update update_after(control_index from) const;
    /// Waits until a command after \p from is applied, or until \p deadline.
    net::awaitable<void> wait_for_command_after(control_index from, time_point deadline);
    /// Ends all waits of wait_for_command_after().
    void wake_watchers();
    std::size_t watchers() const noexcept { return watcher_timers_.size(); }

    /// Index of the last applied log entry, with or without a command.
    control_index applied() const noexcept { return applied_; }
    const control_state& state() const noexcept { return state_; }

private:
    net::any_io_executor executor_;
    control_state state_;
    control_index applied_;
    /// The last command that changed something.
    control_index last_change_;
    /// Commands up to this index are no longer kept.
    control_index discarded_through_;
    struct kept_command
    {
        indexed_command command;
        std::size_t bytes = 0;
    };

    void keep(control_index index, const command& change);
    /// Wakes the watchers at \p due, or earlier if that is planned already.
    void plan_update(time_point due);
    std::size_t snapshot_bytes() const;

    std::deque<kept_command> recent_commands_;
    std::size_t kept_bytes_ = 0;
    std::set<net::steady_timer*> watcher_timers_;
    net::steady_timer update_timer_;
    std::optional<time_point> update_due_;
    time_point last_update_;
    /// The size of a snapshot at an index not long ago.
    mutable std::size_t snapshot_bytes_ = 0;
    mutable control_index measured_at_;
};

} // namespace papayabridge

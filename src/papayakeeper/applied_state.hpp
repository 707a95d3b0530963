/// \file applied_state.hpp
/// The state that the accepted commands gave, and those who wait for it to go on.

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
    /// Moves past a log entry that has no command.
    void advance(control_index index);
    /// Replaces the state by a snapshot taken at \p index.
    void install(control_index index, control_state state);

    /// What follows \p from, the index of the last command that a watcher holds:
    /// commands while they are kept, else a snapshot.
    watch_update update_after(control_index from) const;
    /// Waits until there is a command after \p from, or until \p deadline.
    net::awaitable<void> wait_for_command_after(control_index from, time_point deadline);
    /// Wakes all who wait.
    void wake_watchers();

    /// The last log entry that was applied, with a command or without.
    control_index applied() const noexcept { return applied_; }
    const control_state& state() const noexcept { return state_; }

private:
    net::any_io_executor executor_;
    control_state state_;
    control_index applied_;
    /// Commands are kept from after this index on.
    control_index kept_after_;
    std::deque<indexed_command> recent_;
    std::set<net::steady_timer*> waiting_;
};

} // namespace papayabridge

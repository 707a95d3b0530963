#include "applied_state.hpp"

#include <papayabridge/log.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// Bounds memory, as each command may hold a whole configuration.
constexpr std::size_t max_kept_commands = 64;
// A watcher that is further behind gets a snapshot, which is smaller: it holds one
// configuration, while each of the commands may hold another.
constexpr std::ptrdiff_t max_commands_in_update = 16;

} // namespace

applied_state::applied_state(net::any_io_executor executor)
    : executor_(std::move(executor))
{
}

command_outcome applied_state::apply(control_index index, const command& change)
{
    auto outcome = state_.apply(index, change);
    if (const auto* entry = std::get_if<set_entry_condition>(&change)) {
        log_line(log_event::entry_changed,
                 {{"entry", entry->entry.str()},
                  {"condition", to_string(entry->condition)},
                  {"accepted", outcome.accepted ? "true" : "false"}});
    } else if (const auto* entry = std::get_if<register_entry>(&change)) {
        log_line(log_event::entry_changed, {{"entry", entry->entry.id.str()},
                                            {"condition", "started"},
                                            {"accepted", "true"}});
    }
    if (std::holds_alternative<read_barrier>(change)) {
        // Nothing that a watcher needs to hear of.
        advance(index);
        return outcome;
    }
    last_change_ = index;
    recent_commands_.push_back({.index = index, .change = change});
    if (recent_commands_.size() > max_kept_commands) {
        discarded_through_ = recent_commands_.front().index;
        recent_commands_.pop_front();
    }
    advance(index);
    wake_watchers();
    return outcome;
}

void applied_state::advance(control_index index)
{
    applied_ = index;
}

void applied_state::install(control_index index, control_state state)
{
    state_ = std::move(state);
    recent_commands_.clear();
    discarded_through_ = state_.applied_index();
    last_change_ = state_.applied_index();
    advance(index);
    wake_watchers();
}

watch_update applied_state::update_after(control_index from) const
{
    watch_update update;
    update.applied = state_.applied_index();
    auto next = std::upper_bound(recent_commands_.begin(), recent_commands_.end(), from,
                                 [](control_index index, const indexed_command& kept) {
                                     return index < kept.index;
                                 });
    bool too_far_behind = recent_commands_.end() - next > max_commands_in_update;
    if (from < discarded_through_ || from > update.applied || too_far_behind) {
        update.snapshot = state_;
        return update;
    }
    update.commands.assign(next, recent_commands_.end());
    return update;
}

net::awaitable<void> applied_state::wait_for_command_after(control_index from,
                                                           time_point deadline)
{
    if (last_change_ > from) {
        co_return;
    }
    net::steady_timer timer(executor_, deadline);
    watcher_timers_.insert(&timer);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    watcher_timers_.erase(&timer);
}

void applied_state::wake_watchers()
{
    for (auto* timer : watcher_timers_) {
        timer->cancel();
    }
}

} // namespace papayabridge

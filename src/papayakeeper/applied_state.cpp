#include "applied_state.hpp"

#include <papayabridge/log.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// Bounds memory: a command may hold a whole configuration.
constexpr std::size_t commands_kept = 64;
// A watcher that is further behind gets the state itself, which has one configuration
// where the commands have many.
constexpr std::ptrdiff_t most_commands_behind = 16;

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
    recent_.push_back({.index = index, .change = change});
    if (recent_.size() > commands_kept) {
        kept_after_ = recent_.front().index;
        recent_.pop_front();
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
    recent_.clear();
    kept_after_ = state_.applied_index();
    advance(index);
    wake_watchers();
}

watch_update applied_state::update_after(control_index from) const
{
    watch_update update;
    update.applied = state_.applied_index();
    auto next = std::upper_bound(
        recent_.begin(), recent_.end(), from,
        [](control_index held, const indexed_command& one) { return held < one.index; });
    bool is_far = recent_.end() - next > most_commands_behind;
    if (from < kept_after_ || from > update.applied || is_far) {
        update.snapshot = state_;
        return update;
    }
    update.commands.assign(next, recent_.end());
    return update;
}

net::awaitable<void> applied_state::wait_for_command_after(control_index from,
                                                           time_point deadline)
{
    if (state_.applied_index() > from) {
        co_return;
    }
    net::steady_timer timer(executor_, deadline);
    waiting_.insert(&timer);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    waiting_.erase(&timer);
}

void applied_state::wake_watchers()
{
    for (auto* timer : waiting_) {
        timer->cancel();
    }
}

} // namespace papayabridge

#include "applied_state.hpp"

#include "core/control/update_batch.hpp"

#include <papayabridge/json.hpp>
#include <papayabridge/log.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>

namespace papayabridge {

namespace {

// Bound the memory for what watchers may have missed, as each command may hold a whole
// configuration.
constexpr std::size_t max_kept_commands = 2000;
constexpr std::size_t max_kept_bytes = 1024 * 1024;
// Changes after which the size of a snapshot is measured again.
constexpr std::uint64_t measuring_interval = 64;

} // namespace

applied_state::applied_state(net::any_io_executor executor)
    : executor_(executor), update_timer_(executor)
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
    keep(index, change);
    advance(index);
    auto interval = update_interval(watcher_timers_.size());
    plan_update(
        std::max(steady_clock::now() + notice_delay(change), last_update_ + interval));
    return outcome;
}

void applied_state::keep(control_index index, const command& change)
{
    auto text = encode_command(change);
    kept_command kept{.command = {.index = index, .change = change},
                      .bytes = text ? text.value().size() : 0};
    kept_bytes_ += kept.bytes;
    recent_commands_.push_back(std::move(kept));
    while (recent_commands_.size() > max_kept_commands ||
           (kept_bytes_ > max_kept_bytes && recent_commands_.size() > 1))
    {
        discarded_through_ = recent_commands_.front().command.index;
        kept_bytes_ -= recent_commands_.front().bytes;
        recent_commands_.pop_front();
    }
}

void applied_state::plan_update(time_point due)
{
    if (update_due_ && *update_due_ <= due) {
        return;
    }
    if (due <= steady_clock::now()) {
        wake_watchers();
        return;
    }
    update_due_ = due;
    update_timer_.expires_at(due);
    update_timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            wake_watchers();
        }
    });
}

std::size_t applied_state::snapshot_bytes() const
{
    bool is_measured =
        snapshot_bytes_ != 0 &&
        state_.applied_index().value() - measured_at_.value() < measuring_interval;
    if (!is_measured) {
        snapshot_bytes_ = to_json(state_.snapshot()).size();
        measured_at_ = state_.applied_index();
    }
    return snapshot_bytes_;
}

void applied_state::advance(control_index index)
{
    applied_ = index;
}

void applied_state::install(control_index index, control_state state)
{
    state_ = std::move(state);
    recent_commands_.clear();
    kept_bytes_ = 0;
    snapshot_bytes_ = 0;
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
                                 [](control_index index, const kept_command& kept) {
                                     return index < kept.command.index;
                                 });
    if (from < discarded_through_ || from > update.applied) {
        update.snapshot = state_;
        return update;
    }
    auto count = static_cast<std::size_t>(recent_commands_.end() - next);
    auto bytes = std::accumulate(
        next, recent_commands_.end(), std::size_t{0},
        [](std::size_t sum, const kept_command& kept) { return sum + kept.bytes; });
    if (prefers_snapshot(count, bytes, count == 0 ? 0 : snapshot_bytes())) {
        update.snapshot = state_;
        return update;
    }
    std::transform(next, recent_commands_.end(), std::back_inserter(update.commands),
                   [](const kept_command& kept) { return kept.command; });
    return update;
}

net::awaitable<void> applied_state::wait_for_command_after(control_index from,
                                                           time_point deadline)
{
    // A watcher without any state does not wait for the next common update.
    bool is_new = from == control_index();
    if (last_change_ > from && (is_new || !update_due_)) {
        co_return;
    }
    net::steady_timer timer(executor_, deadline);
    watcher_timers_.insert(&timer);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    watcher_timers_.erase(&timer);
}

void applied_state::wake_watchers()
{
    update_due_.reset();
    update_timer_.cancel();
    last_update_ = steady_clock::now();
    for (auto* timer : watcher_timers_) {
        timer->cancel();
    }
}

} // namespace papayabridge

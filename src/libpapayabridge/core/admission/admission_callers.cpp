#include "core/admission/admission_callers.hpp"

#include <algorithm>

namespace papayabridge {

void caller_queue::add(const admission_item& item)
{
    const auto caller = callers_.try_emplace(item.caller).first;
    auto& state = caller->second;
    if (state.idle()) {
        // A caller gets no credit for the time in which it had no waiting items.
        state.virtual_time = std::max(state.virtual_time, virtual_now_);
        active_.emplace(state.virtual_time, item.caller);
    }
    if (item.target == admission_time{}) {
        state.late.insert(late_key(item));
    } else {
        state.on_time.insert(on_time_key(item));
    }
}

void caller_queue::remove(const admission_item& item)
{
    const auto caller = callers_.find(item.caller);
    auto& state = caller->second;
    state.on_time.erase(on_time_key(item));
    state.late.erase(late_key(item));
    if (state.idle()) {
        active_.erase({state.virtual_time, item.caller});
    }
    erase_if_unused(caller);
}

std::optional<std::uint64_t> caller_queue::next_id(admission_time now,
                                                   std::chrono::microseconds margin)
{
    if (active_.empty()) {
        return std::nullopt;
    }
    // Items that can no longer meet their target go last: otherwise all items would start
    // just after their target in a sustained overload. Each item becomes late at most
    // once.
    auto& state = callers_.at(active_.begin()->second);
    while (!state.on_time.empty() && state.on_time.begin()->due < now + margin) {
        auto key = state.on_time.extract(state.on_time.begin());
        key.value().due = key.value().deadline;
        state.late.insert(std::move(key));
    }
    if (!state.on_time.empty()) {
        return state.on_time.begin()->id;
    }
    return state.late.begin()->id;
}

void caller_queue::charge_start(const admission_item& item,
                                std::chrono::microseconds expected)
{
    const auto caller = callers_.find(item.caller);
    virtual_now_ = std::max(virtual_now_, caller->second.virtual_time);
    ++caller->second.running;
    advance_virtual_time(caller, expected);
}

void caller_queue::charge_finish(const admission_item& item,
                                 std::chrono::microseconds difference)
{
    const auto caller = callers_.find(item.caller);
    if (caller == callers_.end()) {
        return;
    }
    --caller->second.running;
    advance_virtual_time(caller, difference);
    erase_if_unused(caller);
}

std::size_t caller_queue::min_items_ahead(const admission_item& item) const
{
    const auto caller = callers_.find(item.caller);
    if (caller == callers_.end() || caller->second.late.empty()) {
        return 0;
    }
    const auto& late = caller->second.late;
    if (item.target != admission_time{} || late_key(item) < *late.rbegin()) {
        // It may overtake the late items; counting those before it takes linear time.
        return 0;
    }
    // Every other active caller starts at least one item before this caller's second.
    return late.size() + active_.size() - 1;
}

caller_queue::waiting_key caller_queue::on_time_key(const admission_item& item)
{
    return {item.target, item.arrived, item.id, item.deadline};
}

caller_queue::waiting_key caller_queue::late_key(const admission_item& item)
{
    return {item.deadline, item.arrived, item.id, item.deadline};
}

void caller_queue::advance_virtual_time(caller_table::iterator caller,
                                        std::chrono::microseconds by)
{
    auto& state = caller->second;
    const bool is_active = active_.erase({state.virtual_time, caller->first}) != 0;
    state.virtual_time += by;
    if (is_active) {
        active_.emplace(state.virtual_time, caller->first);
    }
}

void caller_queue::erase_if_unused(caller_table::iterator caller)
{
    const auto& state = caller->second;
    if (state.idle() && state.running == 0) {
        callers_.erase(caller);
    }
}

} // namespace papayabridge

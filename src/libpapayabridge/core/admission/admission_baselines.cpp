#include "core/admission/admission_baselines.hpp"

namespace papayabridge {

std::size_t fifo_strategy::min_items_ahead(const admission_item&) const
{
    return order_.size();
}

void fifo_strategy::add_to_order(const admission_item& item)
{
    order_.emplace(item.arrived, item.id);
}

void fifo_strategy::remove_from_order(const admission_item& item)
{
    order_.erase({item.arrived, item.id});
}

std::optional<std::uint64_t> fifo_strategy::choose_next(const admission_load&,
                                                        admission_time)
{
    if (order_.empty()) {
        return std::nullopt;
    }
    return order_.begin()->second;
}

std::size_t strict_strategy::min_items_ahead(const admission_item& item) const
{
    std::size_t count = 0;
    for (auto each : all_ranks) {
        if (each <= item.rank) {
            count += orders_[each].size();
        }
    }
    return count;
}

void strict_strategy::add_to_order(const admission_item& item)
{
    orders_[item.rank].emplace(item.arrived, item.id);
}

void strict_strategy::remove_from_order(const admission_item& item)
{
    orders_[item.rank].erase({item.arrived, item.id});
}

std::optional<std::uint64_t> strict_strategy::choose_next(const admission_load&,
                                                          admission_time)
{
    for (const auto& order : orders_) {
        if (!order.empty()) {
            return order.begin()->second;
        }
    }
    return std::nullopt;
}

} // namespace papayabridge

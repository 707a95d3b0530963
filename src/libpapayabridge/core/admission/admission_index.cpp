#include "core/admission/admission_index.hpp"

namespace papayabridge {

void admission_strategy::finish(const admission_item&, std::chrono::microseconds,
                                const admission_load&, admission_time)
{
}

void indexed_strategy::push(const admission_item& item)
{
    items_.emplace(item.id, item);
    deadlines_.emplace(item.deadline, item.id);
    ++waiting_[item.rank];
    add_to_order(item);
}

std::optional<admission_item> indexed_strategy::pop(const admission_load& load,
                                                    admission_time now)
{
    const auto id = choose_next(load, now);
    if (!id) {
        return std::nullopt;
    }
    on_start(items_.at(*id));
    return extract(*id);
}

bool indexed_strategy::remove(std::uint64_t id)
{
    if (!items_.contains(id)) {
        return false;
    }
    extract(id);
    return true;
}

std::vector<std::uint64_t> indexed_strategy::expire(admission_time now)
{
    std::vector<std::uint64_t> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        expired.push_back(deadlines_.begin()->second);
        extract(expired.back());
    }
    return expired;
}

void indexed_strategy::on_start(const admission_item&) {}

admission_item indexed_strategy::extract(std::uint64_t id)
{
    const auto found = items_.find(id);
    auto item = std::move(found->second);
    items_.erase(found);
    deadlines_.erase({item.deadline, id});
    --waiting_[item.rank];
    remove_from_order(item);
    return item;
}

} // namespace papayabridge

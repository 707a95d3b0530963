#include "coverage.hpp"

#include <algorithm>
#include <vector>

namespace papayabridge {

namespace {

// The value that at least `majority` of `values` reach; the least value if there are
// too few.
template <class Value>
Value reached_by_majority(std::vector<Value> values, std::size_t majority)
{
    if (values.size() < majority) {
        return Value{};
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[majority - 1];
}

} // namespace

void quorum_tracker::record_report(const member_id& id, position held,
                                   time_point asked_at)
{
    auto& known = reports_[id];
    // Reports may arrive out of order. A held position does not shrink within a term.
    known.held = std::max(known.held, held);
    known.asked_at = std::max(known.asked_at, asked_at);
}

position quorum_tracker::majority_position() const
{
    std::vector<position> held;
    for (const auto& [id, known] : reports_) {
        held.push_back(known.held);
    }
    return reached_by_majority(std::move(held), majority_of(group_size_));
}

quorum_tracker::time_point quorum_tracker::lease_expiry() const
{
    std::vector<time_point> asked;
    for (const auto& [id, known] : reports_) {
        asked.push_back(known.asked_at);
    }
    auto proved = reached_by_majority(std::move(asked), majority_of(group_size_));
    return proved == time_point{} ? time_point{} : proved + lease_length;
}

position quorum_tracker::last_position(const member_id& id) const
{
    auto found = reports_.find(id);
    return found == reports_.end() ? position{} : found->second.held;
}

} // namespace papayabridge

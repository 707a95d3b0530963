#include "coverage.hpp"

#include <algorithm>
#include <vector>

namespace papayabridge {

namespace {

// The highest value that at least `majority` of `values` reach. Value{} if there are too
// few.
template <class Value>
Value majority_value(std::vector<Value> values, std::size_t majority)
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
    auto& report = reports_[id];
    // Reports may arrive out of order. A member's position never decreases within a term.
    report.held = std::max(report.held, held);
    report.asked_at = std::max(report.asked_at, asked_at);
}

position quorum_tracker::majority_position() const
{
    std::vector<position> held;
    for (const auto& [id, report] : reports_) {
        held.push_back(report.held);
    }
    return majority_value(std::move(held), majority_of(group_size_));
}

quorum_tracker::time_point quorum_tracker::lease_expiry() const
{
    std::vector<time_point> asked_times;
    for (const auto& [id, report] : reports_) {
        asked_times.push_back(report.asked_at);
    }
    auto confirmed_at = majority_value(std::move(asked_times), majority_of(group_size_));
    return confirmed_at == time_point{} ? time_point{} : confirmed_at + lease_length;
}

position quorum_tracker::last_position(const member_id& id) const
{
    auto found = reports_.find(id);
    return found == reports_.end() ? position{} : found->second.held;
}

} // namespace papayabridge

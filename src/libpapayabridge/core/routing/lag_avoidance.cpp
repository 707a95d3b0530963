#include "lag_avoidance.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds first_avoidance{60};
// A replica that has caught up is used again within this time.
constexpr std::chrono::milliseconds max_avoidance{960};

} // namespace

void lag_avoidance::record(time_point now, position reached)
{
    if (now < until_) {
        // Sent before the last refusal was known.
        reached_ = std::max(reached_, reached);
        return;
    }
    bool still_behind = now - until_ < length_;
    length_ = still_behind ? std::min(length_ * 2, max_avoidance) : first_avoidance;
    until_ = now + length_;
    reached_ = reached;
}

bool lag_avoidance::is_avoided(time_point now, position needed) const
{
    return now < until_ && reached_ < needed;
}

} // namespace papayabridge

#include "position_samples.hpp"

#include <algorithm>
#include <ctime>

namespace papayabridge {

namespace {

// A finer grain would not lower the position that a read needs by much.
constexpr std::chrono::milliseconds finest_grain{10};
// Longer than any accepted age that is worth a read at a replica.
constexpr std::chrono::seconds longest_kept{30};

} // namespace

void position_samples::add(time sent, position at)
{
    if (!samples_.empty() && sent < samples_.back().sent) {
        return;
    }
    if (!samples_.empty()) {
        at = std::max(at, samples_.back().at);
    }
    bool close =
        samples_.size() > 1 && sent - samples_[samples_.size() - 2].sent < finest_grain;
    if (close) {
        samples_.back() = {.sent = sent, .at = at};
    } else {
        samples_.push_back({.sent = sent, .at = at});
    }
    while (sent - samples_.front().sent > longest_kept) {
        samples_.pop_front();
    }
}

std::optional<position>
position_samples::required_position(time now, std::chrono::milliseconds age) const
{
    auto first =
        std::lower_bound(samples_.begin(), samples_.end(), now - age,
                         [](const sample& one, time limit) { return one.sent < limit; });
    if (first == samples_.end()) {
        return std::nullopt;
    }
    return first->at;
}

position_samples::time boottime_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace papayabridge

#include "leaving_clock.hpp"

namespace papayabridge {

void leaving_clock::record(bool leaving, std::optional<time_point> current_before)
{
    if (leaving && !leaving_) {
        since_ = current_before;
    }
    leaving_ = leaving;
}

bool leaving_clock::is_over(time_point now, std::chrono::milliseconds limit) const
{
    return leaving_ && (!since_ || now - *since_ > limit);
}

} // namespace papayabridge

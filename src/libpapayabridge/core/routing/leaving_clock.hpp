/// \file leaving_clock.hpp
/// Tells how long a member that leaves may still be given statements. No I/O.
///
/// Load pattern: members are replaced while entries start, or are cut off from the
/// keepers. Such an entry learns late that a member leaves, when its time may be over.

#pragma once

#include <chrono>
#include <optional>

namespace papayabridge {

/// The leaving of one run of a member, as seen by one entry.
class leaving_clock
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Records what a state tells. \p current_before is when the state before it was last
    /// known to be current; empty if there was none.
    void record(bool leaving, std::optional<time_point> current_before);
    /// Whether the member may have been leaving for more than \p limit at \p now.
    bool is_over(time_point now, std::chrono::milliseconds limit) const;

private:
    bool leaving_ = false;
    // The earliest time at which it may have begun to leave; empty if unknown.
    std::optional<time_point> since_;
};

} // namespace papayabridge

/// \file lag_avoidance.hpp
/// Decides how long reads avoid a replica whose log is behind. No I/O.
///
/// Load pattern: replicas that receive nothing for seconds under full load. Each try at
/// such a replica costs a read a round trip; a replica that is only slightly behind has
/// caught up after a few tens of milliseconds.

#pragma once

#include <chrono>
#include <papayabridge/ids.hpp>

namespace papayabridge {

/// The refusals of one replica.
class lag_avoidance
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Records that the replica refused a read at \p now with its log at \p reached.
    /// Refusals that follow each other lengthen the avoidance.
    void record(time_point now, position reached);
    /// Whether a read that needs \p needed should go elsewhere at \p now.
    bool is_avoided(time_point now, position needed) const;

private:
    time_point until_;
    position reached_;
    std::chrono::milliseconds length_{0};
};

} // namespace papayabridge

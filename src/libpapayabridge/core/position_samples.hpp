/// \file position_samples.hpp
/// Which position a read needs so that it is not older than an accepted age.
///
/// Each answer of a member that proved to be the primary is a sample: all commits that
/// were acknowledged before the statement was sent are at or before the position that
/// came with the answer. Times count while the machine is suspended.

#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <papayabridge/ids.hpp>

namespace papayabridge {

/// Samples of one service's primary.
class position_samples
{
public:
    using time = std::chrono::nanoseconds;

    /// The primary's log was at \p at in the answer to what was sent at \p sent.
    void add(time sent, position at);
    /// A position that holds every commit acknowledged before \p age before \p now;
    /// nothing if no sample proves it.
    std::optional<position> required_position(time now,
                                              std::chrono::milliseconds age) const;

private:
    struct sample
    {
        time sent;
        position at;
    };

    // In order of time; positions do not fall.
    std::deque<sample> samples_;
};

/// Time since the machine was started, suspensions included.
position_samples::time boottime_now();

} // namespace papayabridge

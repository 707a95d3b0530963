/// \file applied_freshness.hpp
/// Tells how old the applied state of a keeper may be. No I/O.
///
/// Load pattern: a keeper whose disk stalls, or that waits for a snapshot, hears its
/// leader several times a second while its state falls behind by seconds.

#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <papayabridge/ids.hpp>

namespace papayabridge {

/// What was committed when, against what is applied. Not thread-safe.
class applied_freshness
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Records that \p commit was the last committed entry at \p now.
    void record_commit(control_index commit, time_point now);
    /// Records that all entries through \p applied are applied.
    void record_applied(control_index applied);
    /// The latest time known at which no committed entry was missing from the applied
    /// state. Empty before the first.
    std::optional<time_point> complete_as_of() const noexcept { return complete_as_of_; }

private:
    struct commit_sample
    {
        control_index commit;
        time_point at;
    };

    // Samples that are not applied yet, with rising commits.
    std::deque<commit_sample> awaited_;
    control_index applied_;
    std::optional<time_point> complete_as_of_;
};

} // namespace papayabridge

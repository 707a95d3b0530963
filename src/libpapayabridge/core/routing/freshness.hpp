/// \file freshness.hpp
/// Upper bounds for the age of a replica's data, from the monotonic clock of one process.
///
/// The gate of a replica asks the gate of the primary for its position and records when
/// it sent the request. Data read at that position or later is no older than that
/// request.

#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <papayabridge/ids.hpp>
#include <vector>

namespace papayabridge {

/// Recent samples of the position of the primary. Not thread-safe.
class freshness_samples
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Keeps at most \p capacity samples; a capacity below 4 counts as 4.
    explicit freshness_samples(std::size_t capacity = 256);

    /// Records that the primary of \p primary_term answered with position \p reached to a
    /// request sent at \p sent. Ignored if a sample of a higher term was recorded.
    void add(time_point sent, term primary_term, position reached);

    /// The lowest position that guarantees data no older than \p age at \p now; nothing
    /// if no sample is recent enough. The data ages while it is read: check it again with
    /// max_age_of() afterwards.
    std::optional<position> min_position_for(std::chrono::milliseconds age,
                                             time_point now) const;
    /// An upper bound of the age of data read at \p reached; nothing if unknown.
    std::optional<std::chrono::milliseconds> max_age_of(position reached,
                                                        time_point now) const;
    std::size_t size() const noexcept { return samples_.size(); }

private:
    struct sample
    {
        time_point sent;
        position reached;
    };

    void thin_older_half();

    std::size_t capacity_;
    term highest_term_;
    /// In increasing order of both time and position.
    std::vector<sample> samples_;
};

} // namespace papayabridge

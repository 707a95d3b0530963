/// \file freshness.hpp
/// How old the data of a replica may be, from one process's monotonic clock.
///
/// The gate of a replica asks the gate of the primary for its position and notes when it
/// sent the question. Data read at that position or later is no older than that moment.

#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <papayabridge/ids.hpp>
#include <vector>

namespace papayabridge {

/// The last samples of the primary's position. Not thread-safe.
class freshness_samples
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Keeps at most \p most samples, of at least 4.
    explicit freshness_samples(std::size_t most = 256);

    /// The primary of \p primary_term was at \p reached some time after \p sent, which
    /// is when it was asked. Samples of a lower term than the highest seen are ignored.
    void add(time_point sent, term primary_term, position reached);

    /// The least position that proves data no older than \p age at \p now; nothing if
    /// no sample is young enough. Check again with age_of() when the answer is there.
    std::optional<position> min_position_for(std::chrono::milliseconds age,
                                             time_point now) const;
    /// An upper bound of the age of data read at \p reached; nothing if not known.
    std::optional<std::chrono::milliseconds> max_age_of(position reached,
                                                        time_point now) const;
    std::size_t size() const noexcept { return samples_.size(); }

private:
    struct sample
    {
        time_point sent;
        position reached;
    };

    void thin_out();

    std::size_t most_;
    term highest_term_;
    /// Rising in both time and position.
    std::vector<sample> samples_;
};

} // namespace papayabridge

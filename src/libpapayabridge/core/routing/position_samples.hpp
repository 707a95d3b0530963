/// \file position_samples.hpp
/// Computes the position that a replica must hold for a read of bounded staleness.
///
/// Each answer of a member that proved to be the primary is a sample: every commit that
/// was acknowledged before the statement was sent is at or before the position in the
/// answer. The clock also advances while the machine is suspended.

#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <papayabridge/ids.hpp>
#include <papayabridge/statement.hpp>

namespace papayabridge {

/// Log positions of one service's primary over time.
class position_samples
{
public:
    using time = std::chrono::nanoseconds;

    /// Records that the primary's log had reached \p reached in its answer to a statement
    /// sent at \p sent_at.
    void add(time sent_at, position reached);
    /// The position that includes every commit acknowledged more than \p max_age before
    /// \p now. Empty if no sample proves one.
    std::optional<position> required_position(time now,
                                              std::chrono::milliseconds max_age) const;

private:
    struct sample
    {
        time sent_at;
        position reached;
    };

    // Ordered by time; positions do not decrease.
    std::deque<sample> samples_;
};

/// Whether success of a statement of kind \p verb proves that the member led when it ran
/// it: outside a transaction, or in one that began at the primary and, this statement
/// included, \p wrote or not.
bool proves_primary_role(statement_verb verb, bool in_transaction, bool wrote);

/// Time since the machine booted, including time suspended.
position_samples::time boottime_now();

} // namespace papayabridge

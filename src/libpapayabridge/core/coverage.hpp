/// \file coverage.hpp
/// What a primary's gate knows from its members' reports: which writes a majority holds,
/// and until when nobody can have superseded the term. No input or output.
///
/// A report is a member's answer that it accepts term T and holds a position. Members
/// that accepted a higher term do not report. Each promotion first makes a majority
/// accept its higher term, so that a majority of reports at T, counted from when they
/// were asked for, proves that no promotion had finished its fence before then.

#pragma once

#include <chrono>
#include <map>
#include <papayabridge/ids.hpp>

namespace papayabridge {

/// How long a majority of reports holds off a newer primary.
inline constexpr std::chrono::milliseconds lease_length{1000};

/// Collects the reports for one database at one term. Not thread-safe.
class quorum_tracker
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    quorum_tracker(papayabridge::term term, std::size_t group_size)
        : term_(term), group_size_(group_size)
    {
    }

    /// Member \p id accepts the term and held \p held when asked at \p asked_at.
    void record_report(const member_id& id, position held, time_point asked_at);

    papayabridge::term term() const noexcept { return term_; }
    /// The highest position that a majority of the members holds.
    position majority_position() const;
    /// Until when an answer may be given under this term; the start of time if never.
    time_point lease_expiry() const;
    /// Whether an answer may be given at \p now.
    bool has_lease(time_point now) const { return now < lease_expiry(); }
    /// Whether \p id reported at all.
    bool has_report(const member_id& id) const { return reports_.count(id) != 0; }
    /// The last position that \p id reported.
    position last_position(const member_id& id) const;

private:
    struct member_report
    {
        position held;
        time_point asked_at;
    };

    papayabridge::term term_;
    std::size_t group_size_;
    std::map<member_id, member_report> reports_;
};

} // namespace papayabridge

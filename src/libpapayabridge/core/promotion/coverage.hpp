/// \file coverage.hpp
/// Derives from the members' reports to a primary's gate which writes a majority holds,
/// and until when the gate holds a lease for its term, that is, until when nobody can
/// have superseded the term. No I/O.
///
/// A report is a member's answer that it accepts term T and holds the log up to a
/// position. A member that accepted a higher term does not report. Each promotion first
/// makes a majority accept its higher term. Reports of a majority at T therefore prove
/// that no promotion had completed its fence when the reports were requested.

#pragma once

#include <chrono>
#include <map>
#include <papayabridge/ids.hpp>

namespace papayabridge {

/// How long reports of a majority protect from a newer primary.
inline constexpr std::chrono::milliseconds lease_length{1000};

/// Collects the members' reports for one database at one term. Not thread-safe.
class quorum_tracker
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    quorum_tracker(papayabridge::term term, std::size_t group_size)
        : term_(term), group_size_(group_size)
    {
    }

    /// Records that member \p id accepts the term and holds the log up to \p held, as it
    /// answered a request sent at \p asked_at.
    void record_report(const member_id& id, position held, time_point asked_at);

    papayabridge::term term() const noexcept { return term_; }
    /// The highest position that a majority of the members holds.
    position majority_position() const;
    /// When the lease expires, during which answers may be given under this term. The
    /// clock's epoch if there was no lease yet.
    time_point lease_expiry() const;
    /// Whether the lease is valid at \p now.
    bool has_lease(time_point now) const { return now < lease_expiry(); }
    /// Whether member \p id has reported.
    bool has_report(const member_id& id) const { return reports_.count(id) != 0; }
    /// The highest position that member \p id reported. Zero if it has not reported.
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

/// \file routing.hpp
/// Chooses the members for a read and the order in which they are tried. Does no I/O.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <papayabridge/ids.hpp>
#include <vector>

namespace papayabridge {

/// Distance of a member's gate from this entry, nearest first.
enum class distance
{
    same_entry,
    same_domain,
    same_region,
    other_region
};

/// An entry's knowledge of a member.
struct member_view
{
    member_id id;
    papayabridge::distance distance = distance::other_region;
    bool is_primary = false;
    /// False from the time its gate reports it unreachable until the gate reports it
    /// reachable.
    bool reachable = true;
    bool leaving = false;
    /// The last reported position; may be outdated.
    position reached;
    /// Typical replication lag.
    std::chrono::milliseconds lag{0};
    /// The last reported estimate of the wait in its queue.
    std::chrono::milliseconds queue_wait{0};
};

/// Requirements of a read.
struct read_requirements
{
    /// The session's watermark: the member must have reached this position.
    position required;
    /// Time since the write that set the watermark, if a write did. Used to estimate
    /// which members have replicated it.
    std::optional<std::chrono::milliseconds> since_write;
    /// Maximum age of the data; 0 requires the primary, unless `session_consistent` is
    /// set.
    std::chrono::milliseconds accepted_age{0};
    /// Any member that reached the session's watermark may answer, regardless of age.
    bool session_consistent = false;
    /// Time left until the deadline.
    std::chrono::milliseconds time_left{0};
    /// Random number that distributes reads over equal members.
    std::uint64_t spread_seed = 0;
};

/// A member to try.
struct route_step
{
    member_id member;
    /// How long the read may wait there for the required position.
    std::chrono::milliseconds max_wait{0};
};

/// Returns the members to try, best first; empty if none can answer.
std::vector<route_step> plan_read(const read_requirements& need,
                                  const std::vector<member_view>& members);

} // namespace papayabridge

/// \file routing.hpp
/// Chooses the members that a read is tried at, and in which order. No input or output.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <papayabridge/ids.hpp>
#include <vector>

namespace papayabridge {

/// How far a member's gate is from this entry; nearer is less.
enum class distance
{
    same_entry,
    same_domain,
    same_region,
    other_region
};

/// What an entry knows of one member.
struct member_view
{
    member_id id;
    papayabridge::distance distance = distance::other_region;
    bool is_primary = false;
    /// False once its gate said it cannot be reached, until it says otherwise.
    bool reachable = true;
    bool leaving = false;
    /// The last position heard of; may be old.
    position reached;
    /// How far behind the primary it usually is.
    std::chrono::milliseconds lag{0};
    /// How long it would queue, as last heard.
    std::chrono::milliseconds queue_wait{0};
};

/// What a read asks for.
struct read_requirements
{
    /// The session's mark: the member must have reached it.
    position required;
    /// When the mark was set by a write, how long ago; for guessing who has it.
    std::optional<std::chrono::milliseconds> since_write;
    /// Accepted age; 0 is fresh: only the primary may answer.
    std::chrono::milliseconds accepted_age{0};
    /// Any member that reached the session's mark may answer, whatever its age.
    bool session_consistent = false;
    /// Time left until the deadline.
    std::chrono::milliseconds time_left{0};
    /// Differs from read to read; spreads them over equal members.
    std::uint64_t spread_seed = 0;
};

/// One step of a route.
struct route_step
{
    member_id member;
    /// How long the member may wait to reach the required position.
    std::chrono::milliseconds max_wait{0};
};

/// The members to try, best first. Empty if none can answer.
std::vector<route_step> plan_read(const read_requirements& need,
                                  const std::vector<member_view>& members);

} // namespace papayabridge

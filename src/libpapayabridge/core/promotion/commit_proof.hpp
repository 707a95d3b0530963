/// \file commit_proof.hpp
/// Tells which replicas have to hold a commit before it is acknowledged to its caller. No
/// I/O.
///
/// Load pattern: callers write while the primary of their service is replaced. A primary
/// that the keepers cannot reach acknowledges with the copy of any replica, also of one
/// that they do not know yet, until the promotion of another member takes effect.

#pragma once

#include <chrono>
#include <map>
#include <papayabridge/ids.hpp>
#include <vector>

namespace papayabridge {

/// Age up to which an entry's view decides by itself whether a commit needs a proof.
/// Longer than it takes to hear from the keepers that nothing has changed.
constexpr std::chrono::milliseconds view_validity{750};

/// What an entry knows of a service when a member has acknowledged a commit.
struct commit_situation
{
    /// The member that acknowledged.
    member_id committed_by;
    /// The recorded primary.
    member_id primary;
    /// The other members.
    std::vector<member_id> replicas;
    /// Number of replicas that hold a commit before the member acknowledges it.
    unsigned copies = 0;
    /// Whether a promotion is pending.
    bool is_changing = false;
    /// Whether the primary is suspected to be lost, so that a promotion may be near.
    bool is_suspected = false;
    /// Members whose promotion may take effect.
    std::vector<member_id> targets;
    /// How long ago the entry knew of everything that the keepers had accepted.
    std::chrono::milliseconds age{0};
};

/// Replicas of which \p count have to hold a commit. None if `count` is 0.
struct commit_proof
{
    std::vector<member_id> replicas;
    std::size_t count = 0;
};

/// The replicas that have to hold a commit before it is acknowledged.
commit_proof required_proof(const commit_situation& situation);

/// Whether the replicas are known to hold a commit.
enum class proof_state : std::uint8_t
{
    open,       ///< Too few replicas are known to hold it; others may.
    holds,      ///< Enough replicas hold it.
    impossible, ///< A later primary leads at too many replicas.
};

/// \p held: the position that each replica is known to have received.
proof_state check_proof(const commit_proof& proof, position committed,
                        const std::map<member_id, position>& held);

} // namespace papayabridge

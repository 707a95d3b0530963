/// \file promotion_plan.hpp
/// Which member may lead a service next, from what its members say. No input or output.

#pragma once

#include <chrono>
#include <papayabridge/pool_state.hpp>
#include <papayabridge/statement.hpp>

namespace papayabridge {

/// What is known of one member while a promotion is prepared.
struct member_report
{
    member_run run;
    bool leaving = false;
    /// What it answered; nothing if it did not.
    std::optional<member_status> status;
    /// No process listens at its address.
    bool is_stopped = false;
};

/// A promotion to decide.
struct promotion_input
{
    std::vector<member_report> members;
    /// Who is believed to lead; may be gone.
    member_id primary;
    /// Replicas that hold a commit before it is acknowledged.
    unsigned copies = 0;
    /// Runs that may have been the only ones to hold a commit, and are gone.
    unsigned lost_holders = 0;
};

/// The member that leads now by its own word, of the highest term; empty if none.
member_id self_reported_primary(const std::vector<member_report>& members);
/// The newest term that any member knows or has been stopped at.
term highest_known_term(const std::vector<member_report>& members);
/// The best target of a planned change, before others are stopped; empty if none.
member_id planned_target(const promotion_input& question);
/// The member to promote once the replicas were stopped: it holds every commit that may
/// have been acknowledged. Empty if no member is known to.
member_id safe_target(const promotion_input& question);

/// A complaint of an entry about a member.
struct member_complaint
{
    /// Since when, without a success in between.
    std::chrono::milliseconds lasting{0};
};

/// What the leader's own attempt to reach a primary gave.
enum class probe_outcome
{
    primary,
    replica, ///< It answers, but as a replica.
    no_answer,
    not_listening, ///< No process listens there.
};

/// Whether a primary is to be replaced: what the leader found itself, and how many of
/// the entries complain, for how long.
bool should_replace_primary(probe_outcome probe, std::size_t complaining,
                            std::size_t entries, std::chrono::milliseconds lasting);

} // namespace papayabridge

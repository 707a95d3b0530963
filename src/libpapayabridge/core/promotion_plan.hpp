/// \file promotion_plan.hpp
/// Chooses the member to promote from the members' reports. No I/O.

#pragma once

#include <chrono>
#include <papayabridge/pool_state.hpp>
#include <papayabridge/statement.hpp>

namespace papayabridge {

/// What is known about one member while a promotion is prepared.
struct member_report
{
    member_run run;
    bool leaving = false;
    /// The member's answer. Empty if it did not answer.
    std::optional<member_status> status;
    /// Whether no process listens at its address.
    bool is_stopped = false;
};

/// What the choice of a promotion target depends on.
struct promotion_input
{
    std::vector<member_report> members;
    /// The last known primary, which may be gone.
    member_id primary;
    /// Number of replicas that hold a commit before it is acknowledged.
    unsigned copies = 0;
    /// Number of removed runs that may have been the only holders of a commit.
    unsigned lost_holders = 0;
};

/// The member with the highest term that reports itself as primary. Empty if none does.
member_id self_reported_primary(const std::vector<member_report>& members);
/// The highest term that any member knows or has been stopped at.
term highest_known_term(const std::vector<member_report>& members);
/// The best target of a planned change, before the replicas are stopped. Empty if there
/// is none.
member_id planned_target(const promotion_input& input);
/// The member to promote once the replicas are stopped: one that holds every commit that
/// may have been acknowledged. Empty if this is proven for no member.
member_id safe_target(const promotion_input& input);

/// An entry's report that it cannot use a member.
struct member_complaint
{
    /// How long every attempt has failed.
    std::chrono::milliseconds duration{0};
};

/// The result of the leader's own attempt to reach a primary.
enum class probe_outcome
{
    primary,
    replica, ///< It answers, but as a replica.
    no_answer,
    not_listening, ///< No process listens at its address.
};

/// Whether a primary must be replaced, given the leader's own \p probe and that
/// \p complaining_entries of \p entry_count entries could not use it for
/// \p complaint_duration.
bool should_replace_primary(probe_outcome probe, std::size_t complaining_entries,
                            std::size_t entry_count,
                            std::chrono::milliseconds complaint_duration);

} // namespace papayabridge

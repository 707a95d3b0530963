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

/// What callers were told of the commits of a suspected primary.
struct acknowledged_commits
{
    /// The furthest commit that an entry is known to have acknowledged on the word of the
    /// primary alone.
    std::optional<position> furthest;
    /// Whether each commit beyond it that was acknowledged is held by a replica that the
    /// keepers know: all entries have reported, or each replica that was not known when
    /// the primary was suspected has had the time to report itself.
    bool is_complete = false;
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
    /// Term below which the replicas were told not to receive; 0 before they were.
    term stop_below;
    /// The end of the primary's log, once it has given up its role: it acknowledges
    /// nothing more.
    std::optional<position> final_position;
    /// See promotion::outstanding.
    std::vector<member_id> outstanding;
    acknowledged_commits acknowledged;
};

/// How a promotion is prepared.
enum class promotion_kind
{
    planned,         ///< The primary serves until the change: it is leaving, or the
                     ///< target was ordered before and may take over at any time.
    reaffirm,        ///< The member that leads, or led last, stays.
    replace_leading, ///< The primary leads, but most entries cannot use it.
    replace_lost,    ///< No member leads.
};

/// How to prepare the promotion, given the members' first reports. \p leaving: the
/// primary is leaving; \p lost: should_replace_primary() holds.
promotion_kind choose_promotion_kind(const promotion_input& input, bool leaving,
                                     bool lost);

/// The member with the highest term that reports itself as primary. Empty if none does.
member_id self_reported_primary(const std::vector<member_report>& members);
/// The highest term that any member knows or has been stopped at.
term highest_known_term(const std::vector<member_report>& members);
/// The end of the log of the last primary, if it gave up its role to nobody: no member
/// leads, and it answers as a replica in the run \p led, in which it led. Empty
/// otherwise.
std::optional<position> former_primary_position(const promotion_input& input,
                                                const member_run& led);
/// The members, other than \p primary, whose outstanding promotion may take effect.
std::vector<member_id> rival_targets(const promotion_input& input,
                                     const member_id& primary);
/// The target of the outstanding orders if it is the only one and answers: ordering it
/// again needs no other order to become void. Empty otherwise.
member_id repeatable_target(const promotion_input& input);
/// The best target of a planned change, before the replicas are stopped. Empty if there
/// is none.
member_id planned_target(const promotion_input& input);
/// The member to promote once the replicas are stopped: one that holds every commit that
/// may have been acknowledged. Empty if this is proven for no member.
member_id safe_target(const promotion_input& input);
/// Whether no caller was told of a commit that a log ending at \p target_end lacks.
bool may_give_up_beyond(const promotion_input& input, position target_end);
/// Whether too few replicas are unknown or not stopped to hold, or to acknowledge, a
/// commit that no other replica holds.
bool replicas_suffice(const promotion_input& input);
/// Whether the primary can acknowledge commits without \p target, although the other
/// replicas were told to stop.
bool others_may_acknowledge(const promotion_input& input, const member_id& target);
/// What the leader found at the address of a replica that withdrew or was replaced.
struct departure_evidence
{
    bool is_answering = false;
    /// Whether the host refuses connections.
    bool is_refusing = false;
    /// Whether another member, or a later run, has this address.
    bool is_replaced = false;
    std::chrono::milliseconds since_departure{0};
};
/// Whether a departed replica receives nothing any more.
bool has_ended(const departure_evidence& seen);
/// Whether enough replicas have reached the position that the primary reports, so that no
/// acknowledged commit depends on a replica that had ended before. False if it does not
/// lead.
bool covers_departures(const promotion_input& input);
/// The highest position of a replica. Empty if none answered.
std::optional<position> most_advanced_position(const promotion_input& input);

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

/// Whether a primary that \p complaining_entries of \p entry_count entries cannot use is
/// suspected to be lost. One that \p is_suspected stays so while any entry complains.
bool should_suspect_primary(std::size_t complaining_entries, std::size_t entry_count,
                            bool is_suspected);

/// Whether a primary must be replaced, given the leader's own \p probe and that
/// \p complaining_entries of \p entry_count entries could not use it for
/// \p complaint_duration.
bool should_replace_primary(probe_outcome probe, std::size_t complaining_entries,
                            std::size_t entry_count,
                            std::chrono::milliseconds complaint_duration);

} // namespace papayabridge

#include "promotion_plan.hpp"

#include <algorithm>
#include <tuple>

namespace papayabridge {

namespace {

// A primary that answers the leader is replaced only if most entries could not use it for
// this long. Most shorter failures end by themselves.
constexpr std::chrono::milliseconds stalled_timeout{800};
// A primary that does not answer the leader either is replaced if a quarter of the
// entries could not use it for this long. A change of primary takes less time than most
// network failures last.
constexpr std::chrono::milliseconds no_answer_timeout{500};

// A member that is cut off from the keepers gives up its withdrawal within this time.
constexpr std::chrono::milliseconds silent_linger{8000};

bool is_replica(const promotion_input& input, const member_report& member)
{
    return member.run.id != input.primary;
}

bool is_outstanding(const promotion_input& input, const member_id& member)
{
    return std::count(input.outstanding.begin(), input.outstanding.end(), member) != 0;
}

// The most advanced log first; among equals, a member that was ordered before, then one
// that is not leaving.
bool is_better_target(const promotion_input& input, const member_report& a,
                      const member_report& b)
{
    auto merit = [&](const member_report& member) {
        return std::make_tuple(member.status->received,
                               is_outstanding(input, member.run.id), !member.leaving);
    };
    return merit(a) > merit(b);
}

const member_report* most_advanced_replica(const promotion_input& input,
                                           bool allow_leaving)
{
    const member_report* best = nullptr;
    for (const auto& member : input.members) {
        bool eligible = is_replica(input, member) && member.status &&
                        (allow_leaving || !member.leaving);
        if (eligible && (best == nullptr || is_better_target(input, member, *best))) {
            best = &member;
        }
    }
    return best;
}

// Whether the replica receives nothing more from the present primary.
bool is_stopped(const promotion_input& input, const member_report& member)
{
    return member.status && member.status->stopped_below >= input.stop_below;
}

unsigned required_copies(const promotion_input& input)
{
    return std::max(input.copies, 1U);
}

// Whether only the last primary, which stepped down, may be promoted by an outstanding
// order.
bool is_former_primary_ordered(const promotion_input& input)
{
    return input.final_position && is_outstanding(input, input.primary) &&
           rival_targets(input, input.primary).empty();
}

} // namespace

member_id self_reported_primary(const std::vector<member_report>& members)
{
    const member_report* best = nullptr;
    for (const auto& member : members) {
        bool leads = member.status && member.status->is_primary;
        if (leads && (best == nullptr || member.status->term > best->status->term)) {
            best = &member;
        }
    }
    return best == nullptr ? member_id() : best->run.id;
}

term highest_known_term(const std::vector<member_report>& members)
{
    term newest;
    for (const auto& member : members) {
        if (member.status) {
            newest = std::max({newest, member.status->term, member.status->stopped_below,
                               member.status->received.term});
        }
    }
    return newest;
}

std::optional<position> former_primary_position(const promotion_input& input,
                                                const member_run& led)
{
    if (led.started_ms == 0 || !self_reported_primary(input.members).empty()) {
        return std::nullopt;
    }
    for (const auto& member : input.members) {
        if (member.run == led && member.status) {
            return member.status->received;
        }
    }
    return std::nullopt;
}

std::vector<member_id> rival_targets(const promotion_input& input,
                                     const member_id& primary)
{
    std::vector<member_id> rivals;
    std::copy_if(input.outstanding.begin(), input.outstanding.end(),
                 std::back_inserter(rivals),
                 [&](const member_id& target) { return target != primary; });
    return rivals;
}

member_id repeatable_target(const promotion_input& input)
{
    auto rivals = rival_targets(input, input.primary);
    if (rivals.size() != 1) {
        return {};
    }
    bool answers = std::any_of(
        input.members.begin(), input.members.end(), [&](const member_report& member) {
            return member.run.id == rivals.front() && member.status;
        });
    return answers ? rivals.front() : member_id();
}

member_id planned_target(const promotion_input& input)
{
    auto ordered = repeatable_target(input);
    if (!ordered.empty()) {
        return ordered;
    }
    const auto* best = most_advanced_replica(input, false);
    return best == nullptr ? member_id() : best->run.id;
}

// At least `copies` replicas hold an acknowledged commit. If fewer than `copies` were not
// stopped, one that was stopped holds it, and so does the most advanced one; this holds
// for later commits, too, as a stopped replica acknowledges none.
bool replicas_suffice(const promotion_input& input)
{
    auto unknown = input.lost_holders;
    for (const auto& member : input.members) {
        if (is_replica(input, member) && !is_stopped(input, member)) {
            ++unknown;
        }
    }
    return unknown < required_copies(input);
}

// The position of a primary that still leads proves nothing: it may acknowledge more with
// the copy of a replica that was not stopped. The end of the log of one that stepped down
// does: commits beyond the best replica may have been acknowledged with the copy of a
// replica that has not reported itself yet. They may be given up only if no caller was
// told of them.
member_id safe_target(const promotion_input& input)
{
    const auto* best = most_advanced_replica(input, true);
    if (best == nullptr) {
        return {};
    }
    bool holds_all =
        input.final_position && best->status->received >= *input.final_position;
    bool may_give_up = may_give_up_beyond(input, best->status->received);
    bool is_safe = holds_all || (may_give_up && replicas_suffice(input));
    return is_safe ? best->run.id : member_id();
}

// Without the end of the primary's log, nothing shows that there are commits to give up.
bool may_give_up_beyond(const promotion_input& input, position target_end)
{
    const auto& acknowledged = input.acknowledged;
    bool is_told = acknowledged.furthest && *acknowledged.furthest > target_end;
    return !is_told && (!input.final_position || acknowledged.is_complete);
}

// A replica that is not leaving and refuses connections has crashed. One that is leaving
// stops listening first and receives until its withdrawal is answered.
bool others_may_acknowledge(const promotion_input& input, const member_id& target)
{
    unsigned receiving = 0;
    for (const auto& member : input.members) {
        bool is_other = is_replica(input, member) && member.run.id != target;
        bool has_crashed = member.is_stopped && !member.leaving;
        if (is_other && !is_stopped(input, member) && !has_crashed) {
            ++receiving;
        }
    }
    return receiving >= required_copies(input);
}

bool has_ended(const departure_evidence& seen)
{
    if (seen.is_replaced || seen.is_refusing) {
        return true;
    }
    return !seen.is_answering && seen.since_departure > silent_linger;
}

bool covers_departures(const promotion_input& input)
{
    auto primary = std::find_if(input.members.begin(), input.members.end(),
                                [&](const member_report& member) {
                                    return !is_replica(input, member) && member.status &&
                                           member.status->is_primary;
                                });
    if (primary == input.members.end()) {
        return false;
    }
    auto holders = std::count_if(
        input.members.begin(), input.members.end(), [&](const member_report& member) {
            return is_replica(input, member) && member.status &&
                   member.status->received >= primary->status->received;
        });
    return static_cast<std::size_t>(holders) >= required_copies(input);
}

std::optional<position> most_advanced_position(const promotion_input& input)
{
    const auto* best = most_advanced_replica(input, true);
    return best == nullptr ? std::nullopt : std::optional(best->status->received);
}

promotion_kind choose_promotion_kind(const promotion_input& input, bool leaving,
                                     bool lost)
{
    auto acting = self_reported_primary(input.members);
    if (acting.empty()) {
        return is_former_primary_ordered(input) ? promotion_kind::reaffirm
                                                : promotion_kind::replace_lost;
    }
    // Another member leads if an earlier order has taken effect.
    if (acting != input.primary) {
        return promotion_kind::reaffirm;
    }
    if (!rival_targets(input, acting).empty()) {
        return repeatable_target(input).empty() ? promotion_kind::reaffirm
                                                : promotion_kind::planned;
    }
    if (leaving) {
        return promotion_kind::planned;
    }
    return lost ? promotion_kind::replace_leading : promotion_kind::reaffirm;
}

bool should_suspect_primary(std::size_t complaining_entries, std::size_t entry_count,
                            bool is_suspected)
{
    return complaining_entries > 0 &&
           (is_suspected || 4 * complaining_entries >= entry_count);
}

bool should_replace_primary(probe_outcome probe, std::size_t complaining_entries,
                            std::size_t entry_count,
                            std::chrono::milliseconds complaint_duration)
{
    switch (probe) {
    case probe_outcome::not_listening:
    case probe_outcome::replica:
        return true;
    case probe_outcome::no_answer:
        return 2 * complaining_entries >= entry_count ||
               (4 * complaining_entries >= entry_count &&
                complaint_duration >= no_answer_timeout);
    case probe_outcome::primary:
        return 2 * complaining_entries > entry_count &&
               complaint_duration >= stalled_timeout;
    }
    return false;
}

} // namespace papayabridge

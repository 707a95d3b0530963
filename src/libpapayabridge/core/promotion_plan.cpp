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

bool is_replica(const promotion_input& input, const member_report& member)
{
    return member.run.id != input.primary;
}

// The most advanced log first; among equals, a member that is not leaving.
bool is_better_target(const member_report& a, const member_report& b)
{
    return std::make_tuple(a.status->received, !a.leaving) >
           std::make_tuple(b.status->received, !b.leaving);
}

const member_report* most_advanced_replica(const promotion_input& input,
                                           bool allow_leaving)
{
    const member_report* best = nullptr;
    for (const auto& member : input.members) {
        bool eligible = is_replica(input, member) && member.status &&
                        (allow_leaving || !member.leaving);
        if (eligible && (best == nullptr || is_better_target(member, *best))) {
            best = &member;
        }
    }
    return best;
}

const member_report* reported_primary(const promotion_input& input)
{
    auto found = std::find_if(input.members.begin(), input.members.end(),
                              [&](const member_report& member) {
                                  return member.run.id == input.primary &&
                                         member.status && member.status->is_primary;
                              });
    return found == input.members.end() ? nullptr : &*found;
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

member_id planned_target(const promotion_input& input)
{
    const auto* best = most_advanced_replica(input, false);
    return best == nullptr ? member_id() : best->run.id;
}

// At least `copies` replicas hold an acknowledged commit. If fewer than `copies` did not
// answer, one that answered holds it, and so does the most advanced one. If the primary
// answers, a replica that is as far as the primary holds everything in any case.
member_id safe_target(const promotion_input& input)
{
    const auto* best = most_advanced_replica(input, true);
    if (best == nullptr) {
        return {};
    }
    const auto* primary = reported_primary(input);
    if (primary != nullptr && best->status->received >= primary->status->received) {
        return best->run.id;
    }
    auto unanswered = input.lost_holders;
    for (const auto& member : input.members) {
        if (is_replica(input, member) && !member.status) {
            ++unanswered;
        }
    }
    bool all_commits_held = unanswered < std::max(input.copies, 1U);
    return all_commits_held ? best->run.id : member_id();
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

#include "promotion_plan.hpp"

#include <algorithm>
#include <tuple>

namespace papayabridge {

namespace {

// A primary that answers the leader is replaced only if most entries have failed to use
// it for so long; shorter troubles pass by themselves more often than not.
constexpr std::chrono::milliseconds stalled_for{800};
// A primary that is silent to the leader, too, is replaced for a quarter of the entries
// after so long: a change of primary takes less than most cuts last.
constexpr std::chrono::milliseconds silent_for{500};

bool is_replica(const promotion_input& question, const member_report& member)
{
    return member.run.id != question.primary;
}

// Furthest first; of equals, one that stays.
bool is_better(const member_report& a, const member_report& b)
{
    return std::make_tuple(a.status->received, !a.leaving) >
           std::make_tuple(b.status->received, !b.leaving);
}

const member_report* furthest_replica(const promotion_input& question,
                                      bool may_be_leaving)
{
    const member_report* best = nullptr;
    for (const auto& member : question.members) {
        bool eligible = is_replica(question, member) && member.status &&
                        (may_be_leaving || !member.leaving);
        if (eligible && (best == nullptr || is_better(member, *best))) {
            best = &member;
        }
    }
    return best;
}

const member_report* reported_primary(const promotion_input& question)
{
    auto found = std::find_if(
        question.members.begin(), question.members.end(), [&](const member_report& one) {
            return one.run.id == question.primary && one.status && one.status->is_primary;
        });
    return found == question.members.end() ? nullptr : &*found;
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

member_id planned_target(const promotion_input& question)
{
    const auto* best = furthest_replica(question, false);
    return best == nullptr ? member_id() : best->run.id;
}

// An acknowledged commit is held by as many replicas as are asked for. If fewer than that
// did not answer, one that answered holds it, and so does the furthest of them. If the
// primary answers, a replica as far as it holds everything in any case.
member_id safe_target(const promotion_input& question)
{
    const auto* best = furthest_replica(question, true);
    if (best == nullptr) {
        return {};
    }
    const auto* primary = reported_primary(question);
    if (primary != nullptr && best->status->received >= primary->status->received) {
        return best->run.id;
    }
    auto unanswered = question.lost_holders;
    for (const auto& member : question.members) {
        if (is_replica(question, member) && !member.status) {
            ++unanswered;
        }
    }
    bool complete = unanswered < std::max(question.copies, 1U);
    return complete ? best->run.id : member_id();
}

bool should_replace_primary(probe_outcome probe, std::size_t complaining,
                            std::size_t entries, std::chrono::milliseconds lasting)
{
    switch (probe) {
    case probe_outcome::not_listening:
    case probe_outcome::replica:
        return true;
    case probe_outcome::no_answer:
        return 2 * complaining >= entries ||
               (4 * complaining >= entries && lasting >= silent_for);
    case probe_outcome::primary:
        return 2 * complaining > entries && lasting >= stalled_for;
    }
    return false;
}

} // namespace papayabridge

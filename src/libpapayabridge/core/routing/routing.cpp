#include <papayabridge/routing.hpp>

#include <algorithm>
#include <tuple>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

/// Maximum wait for replication at a replica that is considered.
constexpr milliseconds max_replica_wait{400};
/// A wait may take at most one in this many parts of the time left.
constexpr int wait_divisor = 4;
/// Added to the estimated wait at a member that is behind, in case the estimate is low.
constexpr milliseconds wait_margin{25};
/// Extra delay accepted at a replica to keep the read off the primary.
constexpr milliseconds primary_penalty{400};
/// Expected delays are compared in steps of this length; delays within one step count
/// as equal.
constexpr milliseconds delay_step{10};

/// Classes of candidates in order of preference. Late: the read would not be answered
/// before its deadline.
enum class candidate_class
{
    near,
    far,
    near_but_late,
    far_but_late
};

/// A member that may answer the read.
struct candidate
{
    const member_view* member = nullptr;
    milliseconds wait{0};
    candidate_class category = candidate_class::near;
    std::int64_t delay_steps = 0;
    std::uint64_t tie_breaker = 0;

    auto sort_key() const
    {
        return std::tuple(category, delay_steps, member->distance, tie_breaker);
    }
};

/// The finalizer of SplitMix64: a well-mixed hash of \p value.
std::uint64_t mix_bits(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31;
    return value;
}

/// Estimated time until \p member reaches the required position.
milliseconds position_wait(const read_requirements& need, const member_view& member)
{
    if (member.reached >= need.required) {
        return milliseconds(0);
    }
    const auto since = need.since_write.value_or(milliseconds(0));
    return std::max(member.lag - since, milliseconds(0)) + wait_margin;
}

/// Estimated wait until the data of \p member is recent enough.
milliseconds age_wait(const read_requirements& need, const member_view& member)
{
    if (need.session_consistent || member.lag <= need.accepted_age) {
        return milliseconds(0);
    }
    return member.lag - need.accepted_age + wait_margin;
}

/// Estimated wait at replica \p member; nothing if it is too long or the read needs the
/// primary.
std::optional<milliseconds> replica_wait(const read_requirements& need,
                                         const member_view& member)
{
    const bool needs_primary =
        need.accepted_age == milliseconds(0) && !need.session_consistent;
    if (needs_primary) {
        return std::nullopt;
    }
    const auto wait = std::max(position_wait(need, member), age_wait(need, member));
    if (wait > std::min(max_replica_wait, need.time_left / wait_divisor)) {
        return std::nullopt;
    }
    return wait;
}

std::optional<milliseconds> member_wait(const read_requirements& need,
                                        const member_view& member)
{
    if (!member.reachable || member.leaving) {
        return std::nullopt;
    }
    if (member.is_primary) {
        return milliseconds(0);
    }
    return replica_wait(need, member);
}

candidate_class classify(const read_requirements& need, const member_view& member,
                         milliseconds delay)
{
    const bool late = delay >= need.time_left;
    if (member.distance == distance::other_region) {
        return late ? candidate_class::far_but_late : candidate_class::far;
    }
    return late ? candidate_class::near_but_late : candidate_class::near;
}

candidate make_candidate(const read_requirements& need, const member_view& member,
                         milliseconds wait)
{
    const auto delay = wait + member.queue_wait;
    const auto cost = member.is_primary ? delay + primary_penalty : delay;
    const auto id_hash = std::hash<member_id>()(member.id);
    return {.member = &member,
            .wait = wait,
            .category = classify(need, member, delay),
            .delay_steps = cost / delay_step,
            .tie_breaker = mix_bits(id_hash ^ mix_bits(need.spread_seed))};
}

} // namespace

std::vector<route_step> plan_read(const read_requirements& need,
                                  const std::vector<member_view>& members)
{
    std::vector<candidate> candidates;
    candidates.reserve(members.size());
    for (const auto& member : members) {
        const auto wait = member_wait(need, member);
        if (wait) {
            candidates.push_back(make_candidate(need, member, *wait));
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& a, const auto& b) { return a.sort_key() < b.sort_key(); });
    std::vector<route_step> route;
    route.reserve(candidates.size());
    for (const auto& each : candidates) {
        route.push_back({.member = each.member->id, .max_wait = each.wait});
    }
    return route;
}

} // namespace papayabridge

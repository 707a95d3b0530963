#include <papayabridge/routing.hpp>

#include <algorithm>
#include <tuple>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

/// Longest wait at a replica for it to qualify.
constexpr milliseconds longest_wait{400};
/// The part of the time left that may be spent on such a wait.
constexpr int wait_part = 4;
/// Added to an expected wait, so that a guess a little low still holds.
constexpr milliseconds wait_margin{25};
/// How much longer a read may take at a replica before the primary is asked instead.
constexpr milliseconds primary_cost{400};
/// Members whose expected delays fall into one step count as equal.
constexpr milliseconds delay_step{10};

/// In order of preference.
enum class preference
{
    near,
    far,
    near_but_late,
    far_but_late
};

/// One member that may answer.
struct candidate
{
    const member_view* member = nullptr;
    milliseconds wait{0};
    preference preferred = preference::near;
    std::int64_t delay_steps = 0;
    std::uint64_t order = 0;

    auto key() const
    {
        return std::tuple(preferred, delay_steps, member->distance, order);
    }
};

/// Mixes the bits of \p value (the finaliser of SplitMix64).
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31;
    return value;
}

/// How long until \p member has reached the position asked for.
milliseconds position_wait(const read_requirements& need, const member_view& member)
{
    if (member.reached >= need.required) {
        return milliseconds(0);
    }
    const auto since = need.since_write.value_or(milliseconds(0));
    return std::max(member.lag - since, milliseconds(0)) + wait_margin;
}

/// How long until \p member holds data that is young enough.
milliseconds age_wait(const read_requirements& need, const member_view& member)
{
    if (need.session_consistent || member.lag <= need.accepted_age) {
        return milliseconds(0);
    }
    return member.lag - need.accepted_age + wait_margin;
}

/// The wait at replica \p member; nothing if it is not worth to wait there.
std::optional<milliseconds> replica_wait(const read_requirements& need,
                                         const member_view& member)
{
    const bool fresh = need.accepted_age == milliseconds(0) && !need.session_consistent;
    if (fresh) {
        return std::nullopt;
    }
    const auto wait = std::max(position_wait(need, member), age_wait(need, member));
    if (wait > std::min(longest_wait, need.time_left / wait_part)) {
        return std::nullopt;
    }
    return wait;
}

std::optional<milliseconds> wait_at(const read_requirements& need,
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

preference preference_of(const read_requirements& need, const member_view& member,
                         milliseconds delay)
{
    const bool late = delay >= need.time_left;
    if (member.distance == distance::other_region) {
        return late ? preference::far_but_late : preference::far;
    }
    return late ? preference::near_but_late : preference::near;
}

candidate make_candidate(const read_requirements& need, const member_view& member,
                         milliseconds wait)
{
    const auto delay = wait + member.queue_wait;
    const auto cost = member.is_primary ? delay + primary_cost : delay;
    const auto name = std::hash<member_id>()(member.id);
    return {.member = &member,
            .wait = wait,
            .preferred = preference_of(need, member, delay),
            .delay_steps = cost / delay_step,
            .order = mix(name ^ mix(need.spread_seed))};
}

} // namespace

std::vector<route_step> plan_read(const read_requirements& need,
                                  const std::vector<member_view>& members)
{
    std::vector<candidate> candidates;
    candidates.reserve(members.size());
    for (const auto& member : members) {
        const auto wait = wait_at(need, member);
        if (wait) {
            candidates.push_back(make_candidate(need, member, *wait));
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& a, const auto& b) { return a.key() < b.key(); });
    std::vector<route_step> route;
    route.reserve(candidates.size());
    for (const auto& each : candidates) {
        route.push_back({.member = each.member->id, .max_wait = each.wait});
    }
    return route;
}

} // namespace papayabridge

#include <gtest/gtest.h>
#include <papayabridge/routing.hpp>
#include <rapidcheck/gtest.h>

#include <set>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

position make_position(std::uint64_t index)
{
    return {term(1), log_index(index)};
}

/// A primary in the same region, a replica at this entry and one in the other region.
std::vector<member_view> three_members()
{
    return {{.id = member_id("primary"),
             .distance = distance::same_region,
             .is_primary = true,
             .reached = make_position(100)},
            {.id = member_id("near"),
             .distance = distance::same_entry,
             .reached = make_position(90),
             .lag = 200ms},
            {.id = member_id("far"),
             .distance = distance::other_region,
             .reached = make_position(95),
             .lag = 200ms}};
}

std::string route_text(const read_requirements& need,
                       const std::vector<member_view>& members)
{
    std::string names;
    for (const auto& step : plan_read(need, members)) {
        names += step.member.str() + " ";
    }
    return names;
}

struct route_case
{
    const char* name;
    read_requirements need;
    std::string route;
};

} // namespace

TEST(plan_read, route_depends_on_the_requirements)
{
    const std::vector<route_case> cases{
        {"fresh", {.time_left = 5s}, "primary "},
        {"aged", {.accepted_age = 5s, .time_left = 5s}, "near primary far "},
        {"session, all have it",
         {.required = make_position(80), .session_consistent = true, .time_left = 5s},
         "near primary far "},
        {"session, about to have it",
         {.required = make_position(99),
          .since_write = 150ms,
          .session_consistent = true,
          .time_left = 5s},
         "near primary far "},
        {"session, no time to wait",
         {.required = make_position(99),
          .since_write = 0ms,
          .session_consistent = true,
          .time_left = 500ms},
         "primary "},
        {"age below the lag",
         {.accepted_age = 150ms, .time_left = 5s},
         "near primary far "},
        {"age far below the lag", {.accepted_age = 1ms, .time_left = 500ms}, "primary "},
    };
    for (const auto& each : cases) {
        EXPECT_EQ(route_text(each.need, three_members()), each.route) << each.name;
    }
}

TEST(plan_read, wait_covers_the_replication_lag)
{
    const read_requirements need{.required = make_position(99),
                                 .since_write = 150ms,
                                 .accepted_age = 5s,
                                 .time_left = 5s};
    const auto route = plan_read(need, three_members());
    ASSERT_FALSE(route.empty());
    EXPECT_GE(route.front().max_wait, 50ms);
    EXPECT_LE(route.front().max_wait, 100ms);
}

TEST(plan_read, nearby_member_with_a_long_queue_comes_later)
{
    auto members = three_members();
    const read_requirements need{.accepted_age = 5s, .time_left = 1s};
    members[1].queue_wait = 700ms;
    EXPECT_EQ(route_text(need, members), "primary near far ");
    members[1].queue_wait = 3s;
    EXPECT_EQ(route_text(need, members), "primary far near ");
    members[0].queue_wait = 3s;
    EXPECT_EQ(route_text(need, members).substr(0, 4), "far ");
}

TEST(plan_read, remote_primary_is_used_if_no_other_member_is_available)
{
    auto members = three_members();
    members[0].distance = distance::other_region;
    members[1].reachable = false;
    members[2].leaving = true;
    EXPECT_EQ(route_text({.accepted_age = 5s, .time_left = 1s}, members), "primary ");
}

TEST(plan_read, reads_are_distributed_over_equal_replicas)
{
    std::vector<member_view> members{
        {.id = member_id("a"), .distance = distance::same_domain},
        {.id = member_id("b"), .distance = distance::same_domain}};
    int first = 0;
    for (std::uint64_t spread = 0; spread < 1000; ++spread) {
        const auto route = plan_read(
            {.accepted_age = 1s, .time_left = 1s, .spread_seed = spread}, members);
        first += route.front().member == member_id("a") ? 1 : 0;
    }
    EXPECT_GT(first, 400);
    EXPECT_LT(first, 600);
}

RC_GTEST_PROP(plan_read_property, route_has_only_eligible_members, ())
{
    const auto random_ms = [](int most) {
        return std::chrono::milliseconds(*rc::gen::inRange(0, most));
    };
    std::vector<member_view> members;
    const auto count = *rc::gen::inRange(0, 6);
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.push_back(
            {.id = member_id(std::to_string(i)),
             .distance = static_cast<distance>(*rc::gen::inRange(0, 4)),
             .is_primary = i == 0,
             .reachable = *rc::gen::arbitrary<bool>(),
             .leaving = *rc::gen::arbitrary<bool>(),
             .reached = make_position(*rc::gen::inRange<std::uint64_t>(0, 9)),
             .lag = random_ms(900),
             .queue_wait = random_ms(9000)});
    }
    const read_requirements need{
        .required = make_position(*rc::gen::inRange<std::uint64_t>(0, 9)),
        .accepted_age = random_ms(3) * 500,
        .session_consistent = *rc::gen::arbitrary<bool>(),
        .time_left = random_ms(8000)};
    std::set<std::string> seen;
    for (const auto& step : plan_read(need, members)) {
        const auto& member = members[std::stoul(step.member.str())];
        RC_ASSERT(seen.insert(step.member.str()).second);
        RC_ASSERT(member.reachable);
        RC_ASSERT(!member.leaving);
        if (!member.is_primary) {
            const bool any_age = need.accepted_age > 0ms || need.session_consistent;
            RC_ASSERT(any_age);
            RC_ASSERT(step.max_wait <= need.time_left);
            const bool waits = step.max_wait > 0ms || member.reached >= need.required;
            RC_ASSERT(waits);
        }
    }
    const bool primary_can = count > 0 && members[0].reachable && !members[0].leaving;
    RC_ASSERT(seen.contains("0") == primary_can);
}

} // namespace papayabridge

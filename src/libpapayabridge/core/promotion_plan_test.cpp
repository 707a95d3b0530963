#include "promotion_plan.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

member_report report(const std::string& id, std::optional<std::uint64_t> received,
                     bool is_primary = false)
{
    member_report one{.run = {.id = member_id(id)}};
    if (received) {
        one.status =
            member_status{.is_primary = is_primary,
                          .term = term(1),
                          .received = {.term = term(1), .index = log_index(*received)}};
    }
    return one;
}

promotion_input question(std::vector<member_report> members, unsigned copies = 1)
{
    return {.members = std::move(members), .primary = member_id("p"), .copies = copies};
}

} // namespace

TEST(promotion_plan, takes_the_furthest_of_all_replicas)
{
    auto asked = question({report("p", {}), report("a", 7), report("b", 9)});
    EXPECT_EQ(safe_target(asked), member_id("b"));
}

TEST(promotion_plan, waits_while_a_replica_that_may_hold_more_is_silent)
{
    EXPECT_TRUE(safe_target(question({report("p", {}), report("a", 7), report("b", {})}))
                    .empty());
    auto left = question({report("p", {}), report("a", 7)});
    left.lost_holders = 1;
    EXPECT_TRUE(safe_target(left).empty());
}

TEST(promotion_plan, a_replica_as_far_as_the_primary_needs_no_others)
{
    auto asked = question({report("p", 7, true), report("a", 7), report("b", {})});
    EXPECT_EQ(safe_target(asked), member_id("a"));
    asked = question({report("p", 8, true), report("a", 7), report("b", {})});
    EXPECT_TRUE(safe_target(asked).empty());
}

TEST(promotion_plan, a_planned_target_is_not_leaving_itself)
{
    auto leaving = report("b", 9);
    leaving.leaving = true;
    EXPECT_EQ(planned_target(question({report("p", 9, true), report("a", 7), leaving})),
              member_id("a"));
}

TEST(promotion_plan, a_stopped_primary_is_lost_and_a_reachable_one_only_for_most)
{
    using std::chrono::milliseconds;
    EXPECT_TRUE(
        should_replace_primary(probe_outcome::not_listening, 1, 8, milliseconds(0)));
    EXPECT_FALSE(
        should_replace_primary(probe_outcome::no_answer, 1, 8, milliseconds(900)));
    EXPECT_TRUE(
        should_replace_primary(probe_outcome::no_answer, 2, 8, milliseconds(900)));
    EXPECT_TRUE(should_replace_primary(probe_outcome::no_answer, 4, 8, milliseconds(0)));
    EXPECT_FALSE(
        should_replace_primary(probe_outcome::primary, 4, 8, milliseconds(5000)));
    EXPECT_FALSE(should_replace_primary(probe_outcome::primary, 8, 8, milliseconds(100)));
    EXPECT_TRUE(should_replace_primary(probe_outcome::primary, 5, 8, milliseconds(900)));
}

// Each commit is acknowledged once `copies` of the replicas hold it. Whoever is chosen
// holds every acknowledged commit, whichever replicas answer.
RC_GTEST_PROP(promotion_plan, the_target_holds_every_acknowledged_commit,
              (const std::vector<std::uint8_t>& positions, std::uint32_t silent))
{
    RC_PRE(!positions.empty() && positions.size() <= 8);
    auto copies = *rc::gen::inRange<std::size_t>(1, positions.size() + 1);
    auto sorted = positions;
    std::sort(sorted.rbegin(), sorted.rend());
    std::uint64_t acknowledged = sorted[copies - 1];
    std::vector<member_report> members{report("p", {})};
    for (std::size_t i = 0; i < positions.size(); ++i) {
        bool answers = (silent >> i & 1U) == 0;
        members.push_back(
            report("r" + std::to_string(i),
                   answers ? std::optional<std::uint64_t>(positions[i]) : std::nullopt));
    }
    auto target =
        safe_target(question(std::move(members), static_cast<unsigned>(copies)));
    if (!target.empty()) {
        auto index = std::stoul(target.str().substr(1));
        RC_ASSERT(positions[index] >= acknowledged);
    }
}

} // namespace papayabridge

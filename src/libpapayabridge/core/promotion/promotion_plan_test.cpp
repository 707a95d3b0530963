#include "promotion_plan.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

member_report make_report(const std::string& id, std::optional<std::uint64_t> received,
                          bool is_primary = false)
{
    member_report report{.run = {.id = member_id(id)}};
    if (received) {
        report.status =
            member_status{.is_primary = is_primary,
                          .term = term(1),
                          .received = {.term = term(1), .index = log_index(*received)}};
    }
    return report;
}

promotion_input make_input(std::vector<member_report> members, unsigned copies = 1)
{
    return {.members = std::move(members), .primary = member_id("p"), .copies = copies};
}

} // namespace

TEST(promotion_plan, most_advanced_replica_is_target)
{
    auto input =
        make_input({make_report("p", {}), make_report("a", 7), make_report("b", 9)});
    EXPECT_EQ(safe_target(input), member_id("b"));
}

TEST(promotion_plan, no_target_while_unanswered_replica_may_hold_more)
{
    EXPECT_TRUE(safe_target(make_input({make_report("p", {}), make_report("a", 7),
                                        make_report("b", {})}))
                    .empty());
    auto input = make_input({make_report("p", {}), make_report("a", 7)});
    input.lost_holders = 1;
    EXPECT_TRUE(safe_target(input).empty());
}

// The position of a primary that leads was read before the replicas were stopped. Commits
// that it acknowledged later with the copy of a replica that could not be stopped were
// lost.
TEST(promotion_plan, replica_equal_to_leading_primary_needs_the_other_answers)
{
    auto input = make_input(
        {make_report("p", 7, true), make_report("a", 7), make_report("b", {})});
    EXPECT_TRUE(safe_target(input).empty());
    input = make_input(
        {make_report("p", 8, true), make_report("a", 7), make_report("b", {})});
    EXPECT_TRUE(safe_target(input).empty());
}

TEST(promotion_plan, replica_that_holds_all_of_stepped_down_primary_needs_no_answers)
{
    auto input =
        make_input({make_report("p", 7), make_report("a", 7), make_report("b", {})});
    input.final_position = position{.term = term(1), .index = log_index(7)};
    EXPECT_EQ(safe_target(input), member_id("a"));
    input.final_position = position{.term = term(1), .index = log_index(8)};
    EXPECT_TRUE(safe_target(input).empty());
}

// Acknowledged commits were lost: a replica that had just started held them, and the
// target was chosen although the primary that had stepped down was further.
TEST(promotion_plan, commits_beyond_the_target_are_given_up_only_if_none_was_told_of)
{
    struct row
    {
        std::optional<std::uint64_t> final_index;
        std::optional<std::uint64_t> furthest;
        bool is_complete;
        bool has_target;
    };
    const row rows[] = {
        {8, {}, false, false}, {8, {}, true, true},  {8, 7, true, true},
        {8, 8, true, false},   {8, 7, false, false}, {7, 8, false, true},
        {{}, {}, false, true}, {{}, 7, false, true}, {{}, 8, true, false},
    };
    for (const auto& row : rows) {
        auto input =
            make_input({make_report("p", 9), make_report("a", 7), make_report("b", 6)});
        auto at = [](std::uint64_t index) {
            return position{.term = term(1), .index = log_index(index)};
        };
        if (row.final_index) {
            input.final_position = at(*row.final_index);
        }
        if (row.furthest) {
            input.acknowledged.furthest = at(*row.furthest);
        }
        input.acknowledged.is_complete = row.is_complete;
        EXPECT_EQ(safe_target(input), row.has_target ? member_id("a") : member_id());
    }
}

TEST(promotion_plan, primary_is_suspected_if_a_quarter_of_the_entries_complains)
{
    EXPECT_FALSE(should_suspect_primary(0, 8, true));
    EXPECT_FALSE(should_suspect_primary(1, 8, false));
    EXPECT_TRUE(should_suspect_primary(2, 8, false));
    EXPECT_TRUE(should_suspect_primary(1, 8, true));
}

TEST(promotion_plan, replica_that_did_not_stop_counts_as_unknown)
{
    auto input =
        make_input({make_report("p", {}), make_report("a", 7), make_report("b", 9)});
    input.stop_below = term(2);
    input.members[1].status->stopped_below = term(2);
    EXPECT_TRUE(safe_target(input).empty());
    input.members[2].status->stopped_below = term(2);
    EXPECT_EQ(safe_target(input), member_id("b"));
}

TEST(promotion_plan, planned_change_needs_all_others_stopped_or_gone)
{
    auto input = make_input(
        {make_report("p", 9, true), make_report("a", 9), make_report("b", {})});
    input.stop_below = term(2);
    EXPECT_TRUE(others_may_acknowledge(input, member_id("a")));
    input.members[2].is_stopped = true;
    EXPECT_FALSE(others_may_acknowledge(input, member_id("a")));
    // It stops listening before it stops receiving.
    input.members[2].leaving = true;
    EXPECT_TRUE(others_may_acknowledge(input, member_id("a")));
    input.members[2].leaving = false;
    input.members[2] = make_report("b", 9);
    EXPECT_TRUE(others_may_acknowledge(input, member_id("a")));
    input.members[2].status->stopped_below = term(2);
    EXPECT_FALSE(others_may_acknowledge(input, member_id("a")));
    input.members[2] = make_report("b", {});
    input.copies = 2;
    EXPECT_FALSE(others_may_acknowledge(input, member_id("a")));
}

TEST(promotion_plan, kind_follows_from_who_leads)
{
    struct row
    {
        std::vector<member_report> members;
        bool leaving;
        bool lost;
        promotion_kind kind;
    };
    const row rows[] = {
        {{make_report("p", {}), make_report("a", 7)},
         false,
         false,
         promotion_kind::replace_lost},
        {{make_report("p", 7), make_report("a", 7)},
         true,
         false,
         promotion_kind::replace_lost},
        {{make_report("p", 7, true), make_report("a", 7)},
         true,
         false,
         promotion_kind::planned},
        {{make_report("p", 7, true), make_report("a", 7)},
         false,
         false,
         promotion_kind::reaffirm},
        {{make_report("p", 7, true), make_report("a", 7)},
         false,
         true,
         promotion_kind::replace_leading},
        {{make_report("p", 7), make_report("a", 7, true)},
         false,
         true,
         promotion_kind::reaffirm},
        {{make_report("p", 7), make_report("a", 7, true)},
         true,
         false,
         promotion_kind::reaffirm},
    };
    for (const auto& row : rows) {
        EXPECT_EQ(choose_promotion_kind(make_input(row.members), row.leaving, row.lost),
                  row.kind);
    }
}

// An order whose answer was lost may have been carried out already. Ordering the same
// target again is safe at any time; every other member has to wait until it cannot take
// effect.
TEST(promotion_plan, outstanding_order_is_completed_if_its_target_answers)
{
    struct row
    {
        std::vector<member_report> members;
        std::vector<std::string> outstanding;
        promotion_kind kind;
        std::string target;
    };
    auto primary = make_report("p", 7, true);
    const row rows[] = {
        {{primary, make_report("a", 7), make_report("b", 9)},
         {"a"},
         promotion_kind::planned,
         "a"},
        {{primary, make_report("a", {}), make_report("b", 9)},
         {"a"},
         promotion_kind::reaffirm,
         "b"},
        {{primary, make_report("a", 7), make_report("b", 9)},
         {"a", "b"},
         promotion_kind::reaffirm,
         "b"},
        {{primary, make_report("a", 7), make_report("b", 9)},
         {""},
         promotion_kind::reaffirm,
         "b"},
        // The primary itself was ordered again, and leads.
        {{primary, make_report("a", 7)}, {"p"}, promotion_kind::replace_leading, "a"},
        {{make_report("p", {}), make_report("a", 7)},
         {"p"},
         promotion_kind::replace_lost,
         "a"},
        {{make_report("p", 7), make_report("a", 7)},
         {"p", "a"},
         promotion_kind::replace_lost,
         "a"},
    };
    for (const auto& row : rows) {
        auto input = make_input(row.members);
        for (const auto& target : row.outstanding) {
            input.outstanding.emplace_back(target);
        }
        EXPECT_EQ(choose_promotion_kind(input, false, true), row.kind);
        EXPECT_EQ(planned_target(input), member_id(row.target));
    }
}

// A service had no primary until the end of the day: an attempt made the primary step
// down, its order was lost, and the next one did not know that the primary's log had
// ended.
TEST(promotion_plan, end_of_a_stepped_down_primary_is_known_in_later_attempts)
{
    auto report = [](const std::string& id, std::optional<std::uint64_t> received,
                     std::uint64_t started_ms, bool is_primary = false) {
        auto made = make_report(id, received, is_primary);
        made.run.started_ms = started_ms;
        return made;
    };
    struct row
    {
        std::vector<member_report> members;
        std::uint64_t led_since_ms;
        std::optional<std::uint64_t> end;
    };
    const row rows[] = {
        {{report("p", 7, 100), report("a", 5, 100)}, 100, 7},
        // Another run may have lost the log.
        {{report("p", 7, 200), report("a", 5, 100)}, 100, {}},
        {{report("p", 7, 100), report("a", 5, 100)}, 0, {}},
        // Some member leads.
        {{report("p", 7, 100, true), report("a", 5, 100)}, 100, {}},
        {{report("p", 7, 100), report("a", 5, 100, true)}, 100, {}},
        {{report("p", {}, 100), report("a", 5, 100)}, 100, {}},
    };
    for (const auto& row : rows) {
        auto end = former_primary_position(
            make_input(row.members),
            {.id = member_id("p"), .started_ms = row.led_since_ms});
        auto expected =
            row.end
                ? std::optional(position{.term = term(1), .index = log_index(*row.end)})
                : std::nullopt;
        EXPECT_EQ(end, expected);
    }
}

TEST(promotion_plan, primary_that_is_to_lead_again_is_not_replaced)
{
    auto input = make_input({make_report("p", 7), make_report("a", 7)});
    input.outstanding = {member_id("p")};
    EXPECT_EQ(choose_promotion_kind(input, false, true), promotion_kind::replace_lost);
    input.final_position = position{.term = term(1), .index = log_index(7)};
    EXPECT_EQ(choose_promotion_kind(input, false, true), promotion_kind::reaffirm);
    input.outstanding.emplace_back("a");
    EXPECT_EQ(choose_promotion_kind(input, false, true), promotion_kind::replace_lost);
}

TEST(promotion_plan, among_equal_replicas_the_one_ordered_before_is_target)
{
    auto input =
        make_input({make_report("p", {}), make_report("a", 7), make_report("b", 7)});
    input.outstanding = {member_id("b")};
    EXPECT_EQ(safe_target(input), member_id("b"));
    input.members[1] = make_report("a", 8);
    EXPECT_EQ(safe_target(input), member_id("a"));
}

TEST(promotion_plan, departures_are_covered_by_as_many_replicas_as_a_commit_needs)
{
    EXPECT_TRUE(covers_departures(make_input(
        {make_report("p", 9, true), make_report("a", 9), make_report("b", {})})));
    EXPECT_FALSE(covers_departures(make_input(
        {make_report("p", 9, true), make_report("a", 8), make_report("b", {})})));
    EXPECT_FALSE(
        covers_departures(make_input({make_report("p", 9), make_report("a", 9)})));
    EXPECT_FALSE(covers_departures(make_input(
        {make_report("p", 9, true), make_report("a", 9), make_report("b", 8)}, 2)));
}

TEST(promotion_plan, departed_replica_has_ended_when_it_can_receive_nothing_more)
{
    using std::chrono::milliseconds;
    struct row
    {
        bool is_answering;
        bool is_refusing;
        bool is_replaced;
        int since_departure_ms;
        bool has_ended;
    };
    const row rows[] = {
        {true, false, false, 60000, false}, {false, true, false, 0, true},
        {false, false, false, 3000, false}, {false, false, false, 8100, true},
        {true, false, true, 0, true},
    };
    for (const auto& row : rows) {
        EXPECT_EQ(has_ended({.is_answering = row.is_answering,
                             .is_refusing = row.is_refusing,
                             .is_replaced = row.is_replaced,
                             .since_departure = milliseconds(row.since_departure_ms)}),
                  row.has_ended);
    }
}

TEST(promotion_plan, leaving_member_is_not_planned_target)
{
    auto leaving = make_report("b", 9);
    leaving.leaving = true;
    EXPECT_EQ(planned_target(
                  make_input({make_report("p", 9, true), make_report("a", 7), leaving})),
              member_id("a"));
}

TEST(promotion_plan, stopped_primary_is_replaced_and_reachable_one_only_for_most_entries)
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

// A commit is acknowledged once `copies` replicas hold it. The target must hold every
// acknowledged commit, whichever replicas answer.
RC_GTEST_PROP(promotion_plan, target_holds_every_acknowledged_commit,
              (const std::vector<std::uint8_t>& positions, std::uint32_t silent))
{
    RC_PRE(!positions.empty() && positions.size() <= 8);
    auto copies = *rc::gen::inRange<std::size_t>(1, positions.size() + 1);
    auto sorted = positions;
    std::sort(sorted.rbegin(), sorted.rend());
    std::uint64_t acknowledged = sorted[copies - 1];
    std::vector<member_report> members{make_report("p", {})};
    for (std::size_t i = 0; i < positions.size(); ++i) {
        bool answers = (silent >> i & 1U) == 0;
        members.push_back(make_report("r" + std::to_string(i),
                                      answers ? std::optional<std::uint64_t>(positions[i])
                                              : std::nullopt));
    }
    auto target =
        safe_target(make_input(std::move(members), static_cast<unsigned>(copies)));
    if (!target.empty()) {
        auto index = std::stoul(target.str().substr(1));
        RC_ASSERT(positions[index] >= acknowledged);
    }
}

} // namespace papayabridge

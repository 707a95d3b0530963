#include "core/routing/gate_placement.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

using testing::ElementsAre;

namespace {

entry_id numbered_entry(unsigned number)
{
    return entry_id("entry-" + std::to_string(number));
}

std::vector<gate_candidate> numbered_candidates(unsigned count, unsigned distance = 0)
{
    std::vector<gate_candidate> candidates;
    for (unsigned number = 0; number < count; ++number) {
        candidates.push_back({.entry = numbered_entry(number), .distance = distance});
    }
    return candidates;
}

struct fleet_row
{
    unsigned max_connections;
    unsigned slots;
    std::size_t entries;
    bool gates;
};

} // namespace

TEST(gate_placement, gates_are_used_where_shares_are_too_small)
{
    constexpr std::array rows{
        fleet_row{34, 5, 8, false},
        fleet_row{28, 2, 6, false},
        fleet_row{16, 2, 7, true},
        fleet_row{46, 4, 75, true},
        fleet_row{72, 5, 94, true},
        fleet_row{58, 6, 90, true},
        fleet_row{1, 1, 1, true},
        fleet_row{1000, 4, 90, false},
        // Many entries that each have a connection, and seldom need a second.
        fleet_row{124, 4, 87, false},
        fleet_row{124, 4, 124, true},
        fleet_row{124, 12, 87, true},
    };
    for (const auto& row : rows) {
        EXPECT_EQ(needs_gates(row.max_connections, row.slots, row.entries), row.gates)
            << row.max_connections << " connections, " << row.entries << " entries";
    }
}

TEST(gate_placement, number_of_gates_follows_entries_per_member)
{
    EXPECT_EQ(gate_count(15, 10), 1u);
    EXPECT_EQ(gate_count(12, 4), 2u);
    EXPECT_EQ(gate_count(2, 3), 1u);
    EXPECT_EQ(gate_count(0, 0), 1u);
}

TEST(gate_placement, a_lost_gate_leaves_room_for_its_successor)
{
    auto one = limits_of_gate(72, 5, 1);
    EXPECT_EQ(one.connections, 35u);
    EXPECT_EQ(one.slots, 10u);
    auto two = limits_of_gate(46, 4, 2);
    EXPECT_EQ(two.connections, 14u);
    EXPECT_EQ(two.slots, 4u);
    EXPECT_EQ(limits_of_gate(1, 0, 1).connections, 1u);
}

TEST(gate_placement, nearest_entries_are_gates_before_farther_ones)
{
    std::vector<gate_candidate> candidates = numbered_candidates(2, 1);
    candidates.push_back({.entry = entry_id("near"), .distance = 0});
    EXPECT_EQ(order_gates(member_id("m1"), candidates).front(), entry_id("near"));
}

TEST(gate_placement, a_gate_prefers_itself_and_others_spread_over_the_gates)
{
    std::vector<entry_id> ordered{numbered_entry(0), numbered_entry(1), numbered_entry(2),
                                  numbered_entry(3)};
    member_id member("m1");
    EXPECT_THAT(choose_gates(numbered_entry(1), member, ordered, 2, 3),
                ElementsAre(numbered_entry(1), numbered_entry(0), numbered_entry(2)));
    // A standby that is alive goes through the gates, too.
    EXPECT_NE(choose_gates(numbered_entry(2), member, ordered, 2, 3).front(),
              numbered_entry(2));
    std::set<entry_id> first;
    for (unsigned caller = 10; caller < 40; ++caller) {
        first.insert(choose_gates(numbered_entry(caller), member, ordered, 2, 3).front());
    }
    EXPECT_EQ(first.size(), 2u);
    EXPECT_TRUE(choose_gates(numbered_entry(1), member, {}, 2, 3).empty());
}

RC_GTEST_PROP(gate_placement, loss_of_an_entry_moves_only_its_own_gates, ())
{
    const auto count = *rc::gen::inRange(2U, 30U);
    const auto lost = *rc::gen::inRange(0U, count);
    const auto gates = *rc::gen::inRange<std::size_t>(1, 3);
    auto candidates = numbered_candidates(count);
    for (unsigned number = 0; number < 20; ++number) {
        member_id member("m" + std::to_string(number));
        auto before = order_gates(member, candidates);
        auto remaining = candidates;
        remaining.erase(remaining.begin() + lost);
        auto after = order_gates(member, remaining);
        before.erase(std::find(before.begin(), before.end(), numbered_entry(lost)));
        RC_ASSERT(before == after);
        RC_ASSERT(choose_gates(numbered_entry(99), member, after, gates, 3).size() <= 3);
    }
}

// Two neighbouring views place the gates of a member at most at one more entry than
// either alone.
RC_GTEST_PROP(gate_placement, neighbouring_views_stay_within_the_connection_limit, ())
{
    const auto max_connections = *rc::gen::inRange(4U, 500U);
    const auto entries = *rc::gen::inRange<std::size_t>(1, 50);
    const auto members = *rc::gen::inRange<std::size_t>(1, 50);
    auto gates = gate_count(entries, members);
    auto limits = limits_of_gate(max_connections, 4, gates);
    RC_ASSERT(limits.connections * (gates + 1) < max_connections);
}

// Each gate opened connections for every account.
TEST(gate_placement, each_gate_serves_a_part_of_the_accounts)
{
    std::vector<entry_id> ordered;
    for (const auto* name : {"e1", "e2", "e3", "e4"}) {
        ordered.emplace_back(name);
    }
    std::map<entry_id, int> accounts_of;
    for (int i = 0; i < 100; ++i) {
        auto account = account_name("t" + std::to_string(i));
        auto chosen = choose_account_gates(account, member_id("m"), ordered, 2, 3);
        ASSERT_EQ(chosen.size(), 3U);
        EXPECT_EQ(chosen.back(), entry_id("e3"));
        EXPECT_NE(chosen[0], chosen[1]);
        ++accounts_of[chosen.front()];
        EXPECT_EQ(chosen, choose_account_gates(account, member_id("m"), ordered, 2, 3));
    }
    EXPECT_EQ(accounts_of.size(), 2U);
    EXPECT_GT(accounts_of[entry_id("e1")], 30);
    EXPECT_GT(accounts_of[entry_id("e2")], 30);
    EXPECT_TRUE(
        choose_account_gates(account_name("t"), member_id("m"), {}, 2, 3).empty());
}

} // namespace papayabridge

#include "core/control/applied_freshness.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

constexpr applied_freshness::time_point start{std::chrono::seconds(100)};

constexpr applied_freshness::time_point at_ms(int ms)
{
    return start + std::chrono::milliseconds(ms);
}

constexpr control_index entry(std::uint64_t number)
{
    return control_index(number);
}

} // namespace

TEST(applied_freshness, nothing_is_known_before_the_first_commit_is_applied)
{
    applied_freshness state;
    EXPECT_FALSE(state.complete_as_of());
    state.record_commit(entry(3), at_ms(0));
    EXPECT_FALSE(state.complete_as_of());
    state.record_applied(entry(2));
    EXPECT_FALSE(state.complete_as_of());
    state.record_applied(entry(3));
    EXPECT_EQ(state.complete_as_of(), at_ms(0));
}

TEST(applied_freshness, heartbeats_without_news_keep_an_idle_keeper_current)
{
    applied_freshness state;
    state.record_applied(entry(7));
    for (int ms = 0; ms <= 4000; ms += 80) {
        state.record_commit(entry(7), at_ms(ms));
    }
    EXPECT_EQ(state.complete_as_of(), at_ms(4000));
}

// A write of one keeper takes nine seconds; the others commit an entry each second, and
// the leader is heard twelve times a second.
TEST(applied_freshness, a_stalled_write_stops_the_time_although_the_leader_is_heard)
{
    applied_freshness state;
    state.record_applied(entry(10));
    state.record_commit(entry(10), at_ms(0));
    for (int ms = 80; ms <= 9000; ms += 80) {
        auto commit = 11 + static_cast<std::uint64_t>(ms) / 1000;
        state.record_commit(entry(commit), at_ms(ms));
        EXPECT_EQ(state.complete_as_of(), at_ms(0)) << ms;
    }
    // The entries are applied one by one; each moves the time to its last sample.
    state.record_applied(entry(11));
    EXPECT_EQ(state.complete_as_of(), at_ms(960));
    state.record_applied(entry(19));
    EXPECT_EQ(state.complete_as_of(), at_ms(8960));
}

TEST(applied_freshness, many_awaited_commits_are_merged_without_claiming_too_much)
{
    applied_freshness state;
    for (int number = 1; number <= 1000; ++number) {
        state.record_commit(entry(static_cast<std::uint64_t>(number)), at_ms(number));
    }
    state.record_applied(entry(999));
    ASSERT_TRUE(state.complete_as_of());
    EXPECT_LE(*state.complete_as_of(), at_ms(999));
    state.record_applied(entry(1000));
    EXPECT_EQ(state.complete_as_of(), at_ms(1000));
}

// A deposed leader's last heartbeat can arrive after those of its successor.
TEST(applied_freshness, a_lower_commit_does_not_replace_a_higher_one)
{
    applied_freshness state;
    state.record_commit(entry(5), at_ms(0));
    state.record_commit(entry(4), at_ms(10));
    state.record_applied(entry(4));
    EXPECT_FALSE(state.complete_as_of());
    state.record_applied(entry(5));
    EXPECT_EQ(state.complete_as_of(), at_ms(10));
}

} // namespace papayabridge

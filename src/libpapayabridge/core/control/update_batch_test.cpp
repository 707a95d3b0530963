#include "update_batch.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

command condition(entry_condition to)
{
    return set_entry_condition{.entry = entry_id("e"), .condition = to};
}

// Updates that the watchers of one keeper get while `changes` arrive evenly within
// `time`.
std::size_t count_updates(std::size_t watchers, std::size_t changes,
                          std::chrono::milliseconds time)
{
    auto interval = std::max(update_interval(watchers), 1ms);
    auto rounds =
        std::min<std::size_t>(changes, static_cast<std::size_t>(time / interval));
    return rounds * watchers;
}

} // namespace

// Statements were sent to a former primary, or a withdrawn route went on, because their
// change was told late.
TEST(update_batch, only_routine_changes_may_be_told_late)
{
    EXPECT_EQ(notice_delay(publish_configuration{}), 0ms);
    EXPECT_EQ(notice_delay(report_member{}), 0ms);
    EXPECT_EQ(notice_delay(begin_promotion{}), 0ms);
    EXPECT_EQ(notice_delay(confirm_primary{}), 0ms);
    EXPECT_EQ(notice_delay(suspect_primary{}), 0ms);
    EXPECT_EQ(notice_delay(condition(entry_condition::draining)), 0ms);
    EXPECT_GT(notice_delay(condition(entry_condition::down)), 0ms);
    EXPECT_GT(notice_delay(condition(entry_condition::up)), 0ms);
    EXPECT_GT(notice_delay(register_entry{}), 0ms);
}

// At 100 entries the links were full of updates when a fleet started.
TEST(update_batch, cost_of_a_start_does_not_grow_with_the_square_of_the_fleet)
{
    // A sixth of the fleet watches each keeper; entries and members register in 2 s.
    auto small = count_updates(100 / 6, 200, 2000ms);
    auto large = count_updates(690 / 6, 1380, 2000ms);
    EXPECT_LE(large, small * 690 / 100);
    EXPECT_LE(large, 2400U);
}

TEST(update_batch, small_fleets_hear_of_each_change_at_once)
{
    EXPECT_LE(update_interval(3), 6ms);
    EXPECT_LE(update_interval(1000), 150ms);
}

// A watcher that was a few commands behind got the whole state, which took it so long to
// receive that it was behind again.
TEST(update_batch, watcher_gets_whichever_is_shorter)
{
    EXPECT_FALSE(prefers_snapshot(10, 90'000, 50'000));
    EXPECT_FALSE(prefers_snapshot(60, 12'000, 50'000));
    EXPECT_TRUE(prefers_snapshot(60, 90'000, 50'000));
}

// Entries that a keeper did not answer in time asked the next one every 20 ms, each time
// over a new connection.
TEST(update_batch, herd_of_failed_watches_spreads)
{
    for (double fraction : {0.0, 0.5, 1.0}) {
        EXPECT_GE(watch_pause(0, fraction), 10ms);
        EXPECT_LE(watch_pause(0, fraction), 20ms);
        EXPECT_LE(watch_pause(100, fraction), 640ms);
    }
    EXPECT_EQ(watch_pause(5, 1.0), 640ms);
    EXPECT_GE(watch_pause(5, 1.0) - watch_pause(5, 0.0), 600ms);
}

// In a large fleet, reports about many primaries took more of the keepers' time than what
// they report.
TEST(update_batch, large_fleets_report_less_often)
{
    EXPECT_EQ(report_interval(8), 150ms);
    EXPECT_EQ(report_interval(300), 300ms);
    EXPECT_EQ(report_interval(1000), 400ms);
}

} // namespace papayabridge

#include "core/routing/leaving_clock.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

constexpr leaving_clock::time_point start{100s};
constexpr auto limit = 5000ms;

} // namespace

TEST(leaving_clock, a_member_that_does_not_leave_is_never_over)
{
    leaving_clock clock;
    EXPECT_FALSE(clock.is_over(start, limit));
    clock.record(false, std::nullopt);
    EXPECT_FALSE(clock.is_over(start + 1h, limit));
}

// The entry hears of it at once: its state was current a moment before.
TEST(leaving_clock, a_member_is_used_until_its_time_is_over)
{
    leaving_clock clock;
    clock.record(false, start);
    clock.record(true, start + 900ms);
    EXPECT_FALSE(clock.is_over(start + 1s, limit));
    EXPECT_FALSE(clock.is_over(start + 5900ms, limit));
    EXPECT_TRUE(clock.is_over(start + 5901ms, limit));
}

// Each further state tells the same, and does not begin the time anew.
TEST(leaving_clock, repeated_states_do_not_lengthen_the_time)
{
    leaving_clock clock;
    for (auto now = start; now < start + 6s; now += 100ms) {
        clock.record(true, now);
    }
    EXPECT_TRUE(clock.is_over(start + 6s, limit));
}

// Its last run may have used the member for long.
TEST(leaving_clock, an_entry_that_starts_gives_a_leaving_member_no_statements)
{
    leaving_clock clock;
    clock.record(true, std::nullopt);
    EXPECT_TRUE(clock.is_over(start, limit));
}

TEST(leaving_clock, an_entry_that_was_cut_off_counts_from_its_last_current_state)
{
    leaving_clock clock;
    clock.record(false, start);
    clock.record(true, start);
    EXPECT_TRUE(clock.is_over(start + 8s, limit)) << "learned after 8 s";
}

TEST(leaving_clock, a_member_that_stays_after_all_is_used_again)
{
    leaving_clock clock;
    clock.record(true, std::nullopt);
    clock.record(false, start);
    EXPECT_FALSE(clock.is_over(start + 1h, limit));
}

} // namespace papayabridge

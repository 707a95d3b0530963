#include "core/routing/lag_avoidance.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

constexpr lag_avoidance::time_point start{std::chrono::seconds(100)};

constexpr position at_index(std::uint64_t index)
{
    return {.term = term(1), .index = log_index(index)};
}

constexpr std::chrono::milliseconds ms(int count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

TEST(lag_avoidance, only_reads_that_need_more_avoid_the_replica)
{
    lag_avoidance behind;
    EXPECT_FALSE(behind.is_avoided(start, at_index(10)));
    behind.record(start, at_index(10));
    EXPECT_TRUE(behind.is_avoided(start + ms(59), at_index(11)));
    EXPECT_FALSE(behind.is_avoided(start + ms(59), at_index(10)));
    EXPECT_FALSE(behind.is_avoided(start + ms(60), at_index(11)));
}

// Both replicas of a database receive nothing for ten seconds, under constant reads.
TEST(lag_avoidance, a_replica_that_stays_behind_is_tried_ever_more_rarely)
{
    lag_avoidance behind;
    unsigned tries = 0;
    for (auto now = start; now < start + std::chrono::seconds(10); now += ms(1)) {
        if (!behind.is_avoided(now, at_index(20))) {
            ++tries;
            behind.record(now, at_index(10));
        }
    }
    EXPECT_LE(tries, 16u);
}

TEST(lag_avoidance, avoidance_is_short_again_after_the_replica_was_usable)
{
    lag_avoidance behind;
    for (auto now = start; now < start + std::chrono::seconds(5); now += ms(1)) {
        if (!behind.is_avoided(now, at_index(20))) {
            behind.record(now, at_index(10));
        }
    }
    auto later = start + std::chrono::seconds(10);
    behind.record(later, at_index(100));
    EXPECT_FALSE(behind.is_avoided(later + ms(60), at_index(101)));
}

// Many reads are in flight when the replica is found to be behind.
TEST(lag_avoidance, refusals_of_reads_sent_before_do_not_lengthen_it)
{
    lag_avoidance behind;
    for (int read = 0; read < 50; ++read) {
        behind.record(start + ms(read), at_index(10));
    }
    EXPECT_FALSE(behind.is_avoided(start + ms(60), at_index(11)));
}

} // namespace papayabridge

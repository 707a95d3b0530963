#include "core/connection_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

TEST(connection_share, entries_leave_a_quarter_and_two_to_others)
{
    EXPECT_EQ(connection_share(34, 8), 3u);
    EXPECT_EQ(connection_share(28, 6), 3u);
    EXPECT_EQ(connection_share(10, 1), 6u);
}

TEST(connection_share, each_entry_has_one_where_there_are_more_entries_than_connections)
{
    EXPECT_EQ(connection_share(58, 90), 1u);
    EXPECT_EQ(connection_share(1, 1), 1u);
}

// A burst of the least urgent kind, whose transactions pause.
TEST(connection_share, one_of_three_is_left_to_the_most_urgent_rank)
{
    EXPECT_TRUE(may_use_connection(3, 1, 2));
    EXPECT_FALSE(may_use_connection(3, 2, 2));
    EXPECT_TRUE(may_use_connection(3, 2, 0));
    EXPECT_FALSE(may_use_connection(3, 3, 0));
}

TEST(connection_share, a_small_share_is_for_all_ranks)
{
    EXPECT_TRUE(may_use_connection(2, 1, 2));
    EXPECT_TRUE(may_use_connection(1, 0, 2));
    EXPECT_FALSE(may_use_connection(1, 1, 0));
}

RC_GTEST_PROP(connection_share, the_fleet_stays_under_the_limit_if_each_may_have_one, ())
{
    const auto most = *rc::gen::inRange(1U, 1000U);
    const auto entries = *rc::gen::inRange(1U, 200U);
    auto share = connection_share(most, entries);
    RC_ASSERT(share >= 1);
    RC_ASSERT(share == 1 || share * entries < most);
}

} // namespace papayabridge

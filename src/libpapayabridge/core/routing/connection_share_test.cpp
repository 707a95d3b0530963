#include "core/routing/connection_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

TEST(connection_share, entries_leave_two_connections_and_a_quarter_of_the_others)
{
    EXPECT_EQ(connection_share(34, 8), 3u);
    EXPECT_EQ(connection_share(28, 6), 3u);
    EXPECT_EQ(connection_share(10, 1), 6u);
}

TEST(connection_share, share_is_one_if_entries_outnumber_connections)
{
    EXPECT_EQ(connection_share(58, 90), 1u);
    EXPECT_EQ(connection_share(1, 1), 1u);
}

// A burst of the least urgent rank, with idle transactions, must not use up the share.
TEST(connection_share, one_of_three_is_reserved_for_most_urgent_rank)
{
    EXPECT_TRUE(may_use_connection(3, 1, 2));
    EXPECT_FALSE(may_use_connection(3, 2, 2));
    EXPECT_TRUE(may_use_connection(3, 2, 0));
    EXPECT_FALSE(may_use_connection(3, 3, 0));
}

TEST(connection_share, small_share_has_no_reserved_connection)
{
    EXPECT_TRUE(may_use_connection(2, 1, 2));
    EXPECT_TRUE(may_use_connection(1, 0, 2));
    EXPECT_FALSE(may_use_connection(1, 1, 0));
}

RC_GTEST_PROP(connection_share, shares_stay_under_limit_unless_each_is_one, ())
{
    const auto max_connections = *rc::gen::inRange(1U, 1000U);
    const auto entry_count = *rc::gen::inRange(1U, 200U);
    auto share = connection_share(max_connections, entry_count);
    RC_ASSERT(share >= 1);
    RC_ASSERT(share == 1 || share * entry_count < max_connections);
}

} // namespace papayabridge

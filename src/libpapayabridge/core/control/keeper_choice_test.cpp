#include "keeper_choice.hpp"

#include <gtest/gtest.h>
#include <map>

namespace papayabridge {

// All entries asked the first seed when a fleet started, and it answered none in time.
TEST(keeper_choice, entries_that_start_together_ask_different_keepers)
{
    std::map<std::string, int> asked;
    for (int i = 0; i < 300; ++i) {
        auto ordered =
            order_keepers(entry_id("e" + std::to_string(i)), {{.address = "10.0.0.1:7"},
                                                              {.address = "10.0.0.2:7"},
                                                              {.address = "10.0.0.3:7"}});
        ASSERT_EQ(ordered.size(), 3U);
        ++asked[ordered.front().address];
    }
    EXPECT_EQ(asked.size(), 3U);
    for (const auto& [address, count] : asked) {
        EXPECT_LT(count, 140);
    }
}

TEST(keeper_choice, nearest_keepers_come_first)
{
    auto ordered = order_keepers(entry_id("e"), {{.address = "a", .distance = 2},
                                                 {.address = "b", .distance = 0},
                                                 {.address = "c", .distance = 1}});
    EXPECT_EQ(ordered[0].address, "b");
    EXPECT_EQ(ordered[1].address, "c");
    EXPECT_EQ(ordered[2].address, "a");
}

} // namespace papayabridge

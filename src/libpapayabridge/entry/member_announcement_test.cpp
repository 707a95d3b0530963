#include "member_announcement.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

TEST(member_announcement, reads_what_a_member_tells)
{
    auto read = decode_member_announcement(
        R"({"service":"s","database":"d","member":"m1","endpoint":"10.0.0.1:80",)"
        R"("group_size":3,"slots":2,"connections":8,"condition":"leaving"})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().group_size, 3U);
    EXPECT_EQ(read.value().member.slots, 2U);
    EXPECT_EQ(read.value().member.connections, 8U);
    EXPECT_TRUE(read.value().member.admitted);
    EXPECT_EQ(read.value().member.condition, member_condition::leaving);
}

// A count that does not fit its type became a member without slots.
TEST(member_announcement, odd_announcement_is_refused)
{
    for (const auto* text :
         {"[]", "{", R"({"member":"","endpoint":"10.0.0.1:80"})",
          R"({"member":"m1","endpoint":"10.0.0.1:0"})",
          R"({"member":"m1","endpoint":"10.0.0.1:65536"})",
          R"({"member":"m1","endpoint":"10.0.0.1:80","slots":0})",
          R"({"member":"m1","endpoint":"10.0.0.1:80","slots":4294967296})",
          R"({"member":"m1","endpoint":"10.0.0.1:80","group_size":1e300})",
          R"({"member":"m1","endpoint":"10.0.0.1:80","connections":"8"})",
          R"({"member":"m1","endpoint":"10.0.0.1:80","domain":"\udc80"})"})
    {
        EXPECT_FALSE(decode_member_announcement(text)) << text;
    }
}

} // namespace papayabridge

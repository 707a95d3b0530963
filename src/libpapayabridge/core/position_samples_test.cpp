#include "position_samples.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

position at(std::uint64_t index, std::uint64_t in_term = 1)
{
    return {.term = term(in_term), .index = log_index(index)};
}

} // namespace

TEST(position_samples, gives_the_oldest_sample_that_is_young_enough)
{
    position_samples samples;
    samples.add(milliseconds(1000), at(10));
    samples.add(milliseconds(2000), at(20));
    samples.add(milliseconds(3000), at(30));
    EXPECT_EQ(samples.required_position(milliseconds(3100), milliseconds(1500)), at(20));
    EXPECT_EQ(samples.required_position(milliseconds(3100), milliseconds(100)), at(30));
    EXPECT_FALSE(samples.required_position(milliseconds(3101), milliseconds(100)));
}

TEST(position_samples, a_suspension_makes_all_samples_too_old)
{
    position_samples samples;
    samples.add(milliseconds(1000), at(10));
    EXPECT_FALSE(samples.required_position(milliseconds(9000), milliseconds(2500)));
}

// Commits are acknowledged at rising positions; whatever was acknowledged before the
// limit must be at or before the position that is asked for.
RC_GTEST_PROP(position_samples, no_commit_before_the_limit_is_missing,
              (const std::vector<std::uint8_t>& gaps, std::uint16_t age_ms))
{
    position_samples samples;
    milliseconds now{100'000};
    std::vector<std::pair<milliseconds, position>> acknowledged;
    std::uint64_t index = 1;
    for (auto gap : gaps) {
        now += milliseconds(gap);
        if (gap % 3 == 0) {
            acknowledged.emplace_back(now, at(++index));
        } else {
            samples.add(now, at(index));
        }
    }
    auto needed = samples.required_position(now, milliseconds(age_ms));
    if (needed) {
        for (const auto& [when, where] : acknowledged) {
            RC_ASSERT(when >= now - milliseconds(age_ms) || where <= *needed);
        }
    }
}

} // namespace papayabridge

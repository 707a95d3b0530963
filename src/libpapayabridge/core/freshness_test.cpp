#include "core/freshness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

freshness_samples::time_point at(std::chrono::milliseconds offset)
{
    return freshness_samples::time_point() + offset;
}

position place(std::uint64_t of_term, std::uint64_t index)
{
    return {term(of_term), log_index(index)};
}

} // namespace

TEST(freshness, asks_for_the_least_position_that_is_young_enough)
{
    freshness_samples samples;
    samples.add(at(0ms), term(1), place(1, 10));
    samples.add(at(100ms), term(1), place(1, 20));
    samples.add(at(200ms), term(1), place(1, 30));
    EXPECT_EQ(samples.min_position_for(300ms, at(250ms)), place(1, 10));
    EXPECT_EQ(samples.min_position_for(150ms, at(250ms)), place(1, 20));
    EXPECT_EQ(samples.min_position_for(50ms, at(250ms)), place(1, 30));
    EXPECT_FALSE(samples.min_position_for(49ms, at(250ms)));
    EXPECT_EQ(samples.max_age_of(place(1, 29), at(250ms)), 150ms);
    EXPECT_FALSE(samples.max_age_of(place(1, 9), at(250ms)));
}

TEST(freshness, a_frozen_process_finds_its_samples_old)
{
    freshness_samples samples;
    samples.add(at(0ms), term(1), place(1, 10));
    const auto required = samples.min_position_for(500ms, at(10ms));
    ASSERT_TRUE(required);
    // The process is stopped for a minute between the question and the answer.
    EXPECT_EQ(samples.max_age_of(*required, at(60s)), 60s);
    EXPECT_FALSE(samples.min_position_for(500ms, at(60s)));
}

TEST(freshness, a_superseded_primary_is_ignored)
{
    freshness_samples samples;
    samples.add(at(0ms), term(2), place(2, 12));
    samples.add(at(10ms), term(1), place(1, 11));
    EXPECT_EQ(samples.min_position_for(1s, at(20ms)), place(2, 12));
}

TEST(freshness, a_promotion_may_lower_the_position)
{
    freshness_samples samples;
    samples.add(at(0ms), term(1), place(1, 100));
    samples.add(at(50ms), term(2), place(1, 95));
    EXPECT_EQ(samples.min_position_for(1s, at(60ms)), place(1, 95));
    EXPECT_EQ(samples.max_age_of(place(1, 96), at(60ms)), 10ms);
}

TEST(freshness, an_idle_primary_keeps_one_sample)
{
    freshness_samples samples;
    for (int i = 0; i < 1000; ++i) {
        samples.add(at(std::chrono::milliseconds(i)), term(1), place(1, 7));
    }
    EXPECT_EQ(samples.size(), 1U);
    EXPECT_EQ(samples.max_age_of(place(1, 7), at(1s)), 1ms);
}

RC_GTEST_PROP(freshness_property, no_requirement_is_older_than_asked,
              (std::vector<std::uint8_t> steps, std::uint16_t age, std::uint8_t later))
{
    // True history: the primary's position at each moment.
    std::vector<std::pair<std::chrono::milliseconds, position>> history;
    freshness_samples samples(8);
    std::chrono::milliseconds now{0};
    std::uint64_t index = 1;
    for (auto step : steps) {
        now += std::chrono::milliseconds(step % 16);
        index += step / 64;
        history.emplace_back(now, place(1, index));
        samples.add(at(now), term(1), place(1, index));
        RC_ASSERT(samples.size() <= 8U);
    }
    now += std::chrono::milliseconds(later);
    const auto required =
        samples.min_position_for(std::chrono::milliseconds(age), at(now));
    if (!required) {
        return;
    }
    // All that the primary held longer ago than the age is included.
    for (const auto& [when, reached] : history) {
        if (when + std::chrono::milliseconds(age) < now) {
            RC_ASSERT(*required >= reached);
        }
    }
    RC_ASSERT(*samples.max_age_of(*required, at(now)) <= std::chrono::milliseconds(age));
}

} // namespace papayabridge

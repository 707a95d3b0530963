#include "core/routing/freshness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

freshness_samples::time_point time_at(std::chrono::milliseconds offset)
{
    return freshness_samples::time_point() + offset;
}

position make_position(std::uint64_t of_term, std::uint64_t index)
{
    return {term(of_term), log_index(index)};
}

} // namespace

TEST(freshness, min_position_is_the_lowest_recent_enough)
{
    freshness_samples samples;
    samples.add(time_at(0ms), term(1), make_position(1, 10));
    samples.add(time_at(100ms), term(1), make_position(1, 20));
    samples.add(time_at(200ms), term(1), make_position(1, 30));
    EXPECT_EQ(samples.min_position_for(300ms, time_at(250ms)), make_position(1, 10));
    EXPECT_EQ(samples.min_position_for(150ms, time_at(250ms)), make_position(1, 20));
    EXPECT_EQ(samples.min_position_for(50ms, time_at(250ms)), make_position(1, 30));
    EXPECT_FALSE(samples.min_position_for(49ms, time_at(250ms)));
    EXPECT_EQ(samples.max_age_of(make_position(1, 29), time_at(250ms)), 150ms);
    EXPECT_FALSE(samples.max_age_of(make_position(1, 9), time_at(250ms)));
}

TEST(freshness, suspended_process_sees_its_samples_aged)
{
    freshness_samples samples;
    samples.add(time_at(0ms), term(1), make_position(1, 10));
    const auto required = samples.min_position_for(500ms, time_at(10ms));
    ASSERT_TRUE(required);
    // The process is suspended for a minute between the request and the answer.
    EXPECT_EQ(samples.max_age_of(*required, time_at(60s)), 60s);
    EXPECT_FALSE(samples.min_position_for(500ms, time_at(60s)));
}

TEST(freshness, sample_of_superseded_primary_is_ignored)
{
    freshness_samples samples;
    samples.add(time_at(0ms), term(2), make_position(2, 12));
    samples.add(time_at(10ms), term(1), make_position(1, 11));
    EXPECT_EQ(samples.min_position_for(1s, time_at(20ms)), make_position(2, 12));
}

TEST(freshness, promotion_may_lower_the_position)
{
    freshness_samples samples;
    samples.add(time_at(0ms), term(1), make_position(1, 100));
    samples.add(time_at(50ms), term(2), make_position(1, 95));
    EXPECT_EQ(samples.min_position_for(1s, time_at(60ms)), make_position(1, 95));
    EXPECT_EQ(samples.max_age_of(make_position(1, 96), time_at(60ms)), 10ms);
}

TEST(freshness, unchanged_position_keeps_one_sample)
{
    freshness_samples samples;
    for (int i = 0; i < 1000; ++i) {
        samples.add(time_at(std::chrono::milliseconds(i)), term(1), make_position(1, 7));
    }
    EXPECT_EQ(samples.size(), 1U);
    EXPECT_EQ(samples.max_age_of(make_position(1, 7), time_at(1s)), 1ms);
}

RC_GTEST_PROP(freshness_property, min_position_covers_the_requested_age,
              (std::vector<std::uint8_t> steps, std::uint16_t age, std::uint8_t later))
{
    // The actual position of the primary at each time.
    std::vector<std::pair<std::chrono::milliseconds, position>> history;
    freshness_samples samples(8);
    std::chrono::milliseconds now{0};
    std::uint64_t index = 1;
    for (auto step : steps) {
        now += std::chrono::milliseconds(step % 16);
        index += step / 64;
        history.emplace_back(now, make_position(1, index));
        samples.add(time_at(now), term(1), make_position(1, index));
        RC_ASSERT(samples.size() <= 8U);
    }
    now += std::chrono::milliseconds(later);
    const auto required =
        samples.min_position_for(std::chrono::milliseconds(age), time_at(now));
    if (!required) {
        return;
    }
    // The required position covers everything that the primary held before that age.
    for (const auto& [when, reached] : history) {
        if (when + std::chrono::milliseconds(age) < now) {
            RC_ASSERT(*required >= reached);
        }
    }
    RC_ASSERT(*samples.max_age_of(*required, time_at(now)) <=
              std::chrono::milliseconds(age));
}

} // namespace papayabridge

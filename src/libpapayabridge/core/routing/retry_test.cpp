#include <gtest/gtest.h>
#include <papayabridge/retry.hpp>
#include <rapidcheck/gtest.h>

namespace papayabridge {

using namespace std::chrono_literals;

TEST(retry_budget, first_attempts_earn_a_percentage_of_retries)
{
    retry_budget budget({.percent = 20, .burst = 2});
    EXPECT_TRUE(budget.try_spend());
    EXPECT_TRUE(budget.try_spend());
    EXPECT_FALSE(budget.try_spend());
    for (int i = 0; i < 4; ++i) {
        budget.record_first_attempt();
    }
    EXPECT_FALSE(budget.try_spend());
    budget.record_first_attempt();
    EXPECT_TRUE(budget.try_spend());
    EXPECT_EQ(budget.remaining(), 0U);
}

RC_GTEST_PROP(retry_budget_property, retries_never_exceed_the_earned_credit,
              (const std::vector<bool>& steps))
{
    const retry_budget_options options{.percent = 10, .burst = 3};
    retry_budget budget(options);
    unsigned first = 0;
    unsigned taken = 0;
    for (auto is_first : steps) {
        if (is_first) {
            ++first;
            budget.record_first_attempt();
        } else if (budget.try_spend()) {
            ++taken;
        }
    }
    RC_ASSERT(taken <= options.burst + first * options.percent / 100);
}

TEST(backoff, doubles_up_to_the_maximum)
{
    EXPECT_EQ(backoff(1, 10ms, 100ms), 10ms);
    EXPECT_EQ(backoff(2, 10ms, 100ms), 20ms);
    EXPECT_EQ(backoff(4, 10ms, 100ms), 80ms);
    EXPECT_EQ(backoff(5, 10ms, 100ms), 100ms);
    EXPECT_EQ(backoff(4000000, 10ms, 100ms), 100ms);
    EXPECT_EQ(with_jitter(100ms, 0.0), 50ms);
    EXPECT_EQ(with_jitter(100ms, 0.5), 75ms);
    EXPECT_LT(with_jitter(100ms, 0.999), 100ms);
}

TEST(hedge_policy, delay_is_the_95th_percentile)
{
    hedge_policy policy;
    EXPECT_FALSE(policy.delay(1s));
    for (int i = 1; i <= 320; ++i) {
        policy.record_latency(std::chrono::milliseconds(i % 10 == 0 ? 90 : 10));
    }
    EXPECT_EQ(policy.delay(1s), 90ms);
    EXPECT_FALSE(policy.delay(100ms));
}

} // namespace papayabridge

#include "core/observability/log_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

constexpr log_budget::time_point start{std::chrono::hours(1)};

unsigned admitted(log_budget& budget, log_event event, unsigned offered,
                  log_budget::time_point now)
{
    unsigned count = 0;
    for (unsigned i = 0; i < offered; ++i) {
        count += budget.admit(event, now) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(log_budget, holds_back_what_is_over_the_rate_and_counts_it)
{
    log_budget budget({.changes = 5, .troubles = 4, .ordinary = 3});
    EXPECT_EQ(admitted(budget, log_event::statement_answered, 10, start), 3u);
    auto held_back = budget.take_held_back();
    ASSERT_EQ(held_back.size(), 1u);
    EXPECT_EQ(held_back.front().first, log_event::statement_answered);
    EXPECT_EQ(held_back.front().second, 7u);
    EXPECT_TRUE(budget.take_held_back().empty());
}

TEST(log_budget, events_do_not_use_up_each_others_lines)
{
    log_budget budget({.changes = 5, .failures = 4, .ordinary = 3});
    admitted(budget, log_event::statement_answered, 100, start);
    EXPECT_EQ(admitted(budget, log_event::statement_refused, 10, start), 4u);
    EXPECT_EQ(admitted(budget, log_event::statement_in_doubt, 10, start), 4u);
    EXPECT_EQ(admitted(budget, log_event::primary_known, 10, start), 5u);
}

// A flood of refused statements beside some that are served.
TEST(log_budget, a_failure_held_back_leaves_the_next_second_to_failures)
{
    log_budget budget({.changes = 5, .failures = 4, .troubles = 3, .ordinary = 3});
    admitted(budget, log_event::statement_refused, 5, start);
    EXPECT_FALSE(budget.admit(log_event::statement_answered, start));
    EXPECT_FALSE(budget.admit(log_event::statement_retried, start + 999ms));
    EXPECT_TRUE(budget.admit(log_event::primary_known, start + 999ms));
    EXPECT_TRUE(budget.admit(log_event::statement_in_doubt, start + 999ms));
    EXPECT_TRUE(budget.admit(log_event::statement_answered, start + 1s));
}

TEST(log_budget, a_failure_lost_by_a_full_queue_leaves_the_next_second_to_failures)
{
    log_budget budget({.failures = 4, .ordinary = 3});
    budget.count_lost(log_event::statement_failed, start);
    EXPECT_FALSE(budget.admit(log_event::statement_answered, start + 500ms));
    EXPECT_TRUE(budget.admit(log_event::statement_answered, start + 1s));
}

TEST(log_budget, other_lines_held_back_stop_nothing)
{
    log_budget budget({.changes = 1, .failures = 4, .troubles = 1, .ordinary = 3});
    admitted(budget, log_event::primary_known, 5, start);
    admitted(budget, log_event::statement_retried, 5, start);
    EXPECT_TRUE(budget.admit(log_event::statement_answered, start));
}

TEST(log_budget, fills_again_with_time)
{
    log_budget budget({.changes = 10});
    admitted(budget, log_event::member_known, 100, start);
    EXPECT_EQ(admitted(budget, log_event::member_known, 100, start + 500ms), 5u);
    EXPECT_EQ(admitted(budget, log_event::member_known, 100, start + 1h), 10u);
}

TEST(log_budget, a_clock_that_stands_still_or_goes_back_gives_nothing)
{
    log_budget budget({.changes = 10});
    admitted(budget, log_event::member_known, 100, start);
    EXPECT_EQ(admitted(budget, log_event::member_known, 100, start - 1s), 0u);
}

// Over any span, at most the rate times the span and one second's worth are written, and
// each line is either written or counted.
RC_GTEST_PROP(log_budget, is_bounded_over_any_span, ())
{
    const auto rate = *rc::gen::inRange(1U, 50U);
    const auto pauses =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 400U));
    log_budget budget({.ordinary = rate});
    auto now = start;
    unsigned written = 0;
    std::uint64_t held_back = 0;
    for (auto pause : pauses) {
        now += std::chrono::milliseconds(pause);
        written += admitted(budget, log_event::statement_answered, 1, now);
        for (const auto& [event, lines] : budget.take_held_back()) {
            held_back += lines;
        }
    }
    auto seconds = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(written <= rate * (seconds + 1) + 1e-6);
    RC_ASSERT(written + held_back == pauses.size());
}

RC_GTEST_PROP(log_budget,
              no_line_of_a_served_request_within_a_second_of_a_failure_without, ())
{
    const auto steps = *rc::gen::container<std::vector<std::pair<bool, unsigned>>>(
        rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0U, 300U)));
    log_budget budget({.failures = 2, .ordinary = 10});
    auto now = start;
    std::optional<log_budget::time_point> held_back;
    for (auto [fails, pause] : steps) {
        now += std::chrono::milliseconds(pause);
        bool written = budget.admit(
            fails ? log_event::statement_refused : log_event::statement_answered, now);
        RC_ASSERT(fails || !written || !held_back || now >= *held_back + 1s);
        if (fails && !written) {
            held_back = now;
        }
    }
}

} // namespace papayabridge

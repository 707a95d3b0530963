#include "position_samples.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

position position_at(std::uint64_t index, std::uint64_t term_number = 1)
{
    return {.term = term(term_number), .index = log_index(index)};
}

} // namespace

TEST(position_samples, oldest_sample_within_age_is_required)
{
    position_samples samples;
    samples.add(milliseconds(1000), position_at(10));
    samples.add(milliseconds(2000), position_at(20));
    samples.add(milliseconds(3000), position_at(30));
    EXPECT_EQ(samples.required_position(milliseconds(3100), milliseconds(1500)),
              position_at(20));
    EXPECT_EQ(samples.required_position(milliseconds(3100), milliseconds(100)),
              position_at(30));
    EXPECT_FALSE(samples.required_position(milliseconds(3101), milliseconds(100)));
}

// The COMMIT of a transaction that only read, answered by a former primary, counted as a
// position of the primary, and reads of bounded staleness were too old.
TEST(position_samples, only_answers_that_a_former_primary_refuses_are_samples)
{
    struct row
    {
        statement_verb verb;
        bool in_transaction;
        bool wrote;
        bool proves;
    };
    constexpr row rows[] = {
        {statement_verb::write, false, true, true},
        {statement_verb::write, true, true, true},
        {statement_verb::read, false, false, false},
        {statement_verb::read, true, false, true},
        {statement_verb::execute, false, false, false},
        {statement_verb::execute, false, true, true},
        {statement_verb::execute, true, false, true},
        {statement_verb::commit, true, true, true},
        {statement_verb::commit, true, false, false},
        {statement_verb::rollback, true, true, false},
        {statement_verb::begin_read_only, true, false, false},
        {statement_verb::set_value, false, false, false},
    };
    for (const auto& row : rows) {
        EXPECT_EQ(proves_primary_role(row.verb, row.in_transaction, row.wrote),
                  row.proves)
            << static_cast<int>(row.verb) << row.in_transaction << row.wrote;
    }
}

TEST(position_samples, suspension_expires_all_samples)
{
    position_samples samples;
    samples.add(milliseconds(1000), position_at(10));
    EXPECT_FALSE(samples.required_position(milliseconds(9000), milliseconds(2500)));
}

// Commits are acknowledged at increasing positions. Each commit acknowledged before the
// age limit must be at or before the required position.
RC_GTEST_PROP(position_samples, required_position_includes_all_older_commits,
              (const std::vector<std::uint8_t>& gaps, std::uint16_t age_ms))
{
    position_samples samples;
    milliseconds now{100'000};
    std::vector<std::pair<milliseconds, position>> acknowledged;
    std::uint64_t index = 1;
    for (auto gap : gaps) {
        now += milliseconds(gap);
        if (gap % 3 == 0) {
            acknowledged.emplace_back(now, position_at(++index));
        } else {
            samples.add(now, position_at(index));
        }
    }
    auto needed = samples.required_position(now, milliseconds(age_ms));
    if (needed) {
        for (const auto& [time, log_position] : acknowledged) {
            RC_ASSERT(time >= now - milliseconds(age_ms) || log_position <= *needed);
        }
    }
}

} // namespace papayabridge

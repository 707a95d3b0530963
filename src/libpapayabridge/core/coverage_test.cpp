#include "coverage.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using time_point = quorum_tracker::time_point;
using std::chrono::milliseconds;

const time_point begin = time_point() + std::chrono::hours(1);

position at(std::uint64_t index)
{
    return {term(2), log_index(index)};
}

} // namespace

TEST(coverage, holds_nothing_and_no_lease_before_a_majority_reported)
{
    quorum_tracker known(term(2), 3);
    known.record_report(member_id("a"), at(5), begin);
    EXPECT_EQ(known.majority_position(), position{});
    EXPECT_FALSE(known.has_lease(begin));
}

TEST(coverage, counts_what_a_majority_reached)
{
    quorum_tracker known(term(2), 3);
    known.record_report(member_id("a"), at(9), begin);
    known.record_report(member_id("b"), at(4), begin);
    EXPECT_EQ(known.majority_position(), at(4));
    known.record_report(member_id("c"), at(7), begin);
    EXPECT_EQ(known.majority_position(), at(7));
}

TEST(coverage, leases_from_when_the_majority_was_asked)
{
    quorum_tracker known(term(2), 3);
    known.record_report(member_id("a"), at(1), begin + milliseconds(500));
    known.record_report(member_id("b"), at(1), begin);
    EXPECT_TRUE(known.has_lease(begin + lease_length - milliseconds(1)));
    EXPECT_FALSE(known.has_lease(begin + lease_length));
}

TEST(coverage, counts_the_whole_group_also_where_few_announced)
{
    quorum_tracker known(term(2), 5);
    known.record_report(member_id("a"), at(1), begin);
    known.record_report(member_id("b"), at(1), begin);
    EXPECT_FALSE(known.has_lease(begin));
}

RC_GTEST_PROP(coverage_property, a_majority_holds_what_is_covered, ())
{
    const auto group = *rc::gen::inRange<std::size_t>(1, 6);
    quorum_tracker known(term(2), group);
    std::map<std::string, std::uint64_t> held;
    const auto reports = *rc::gen::inRange(0, 30);
    for (int i = 0; i < reports; ++i) {
        auto name = std::to_string(*rc::gen::inRange<std::size_t>(0, group));
        auto index = *rc::gen::inRange<std::uint64_t>(0, 50);
        held[name] = std::max(held[name], index);
        known.record_report(member_id(name), at(index), begin);
    }
    auto covered = known.majority_position();
    std::size_t holders = 0;
    for (const auto& [name, index] : held) {
        holders += at(index) >= covered ? 1 : 0;
    }
    if (covered != position{}) {
        RC_ASSERT(holders >= majority_of(group));
    }
}

RC_GTEST_PROP(coverage_property, no_lease_outlives_a_majority_that_fell_silent, ())
{
    const auto group = *rc::gen::inRange<std::size_t>(2, 6);
    quorum_tracker known(term(2), group);
    for (std::size_t i = 0; i < group; ++i) {
        known.record_report(member_id(std::to_string(i)), at(1), begin);
    }
    // A minority goes on answering; the others were fenced.
    const auto minority = group - majority_of(group);
    for (std::size_t i = 0; i < minority; ++i) {
        known.record_report(member_id(std::to_string(i)), at(1),
                            begin + milliseconds(900));
    }
    RC_ASSERT_FALSE(known.has_lease(begin + lease_length));
}

} // namespace papayabridge

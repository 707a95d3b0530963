#include "coverage.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using time_point = quorum_tracker::time_point;
using std::chrono::milliseconds;

const time_point start = time_point() + std::chrono::hours(1);

position position_at(std::uint64_t index)
{
    return {term(2), log_index(index)};
}

} // namespace

TEST(coverage, minority_of_reports_gives_no_position_and_no_lease)
{
    quorum_tracker tracker(term(2), 3);
    tracker.record_report(member_id("a"), position_at(5), start);
    EXPECT_EQ(tracker.majority_position(), position{});
    EXPECT_FALSE(tracker.has_lease(start));
}

TEST(coverage, majority_position_is_highest_held_by_majority)
{
    quorum_tracker tracker(term(2), 3);
    tracker.record_report(member_id("a"), position_at(9), start);
    tracker.record_report(member_id("b"), position_at(4), start);
    EXPECT_EQ(tracker.majority_position(), position_at(4));
    tracker.record_report(member_id("c"), position_at(7), start);
    EXPECT_EQ(tracker.majority_position(), position_at(7));
}

TEST(coverage, lease_starts_when_majority_was_asked)
{
    quorum_tracker tracker(term(2), 3);
    tracker.record_report(member_id("a"), position_at(1), start + milliseconds(500));
    tracker.record_report(member_id("b"), position_at(1), start);
    EXPECT_TRUE(tracker.has_lease(start + lease_length - milliseconds(1)));
    EXPECT_FALSE(tracker.has_lease(start + lease_length));
}

TEST(coverage, majority_is_of_whole_group)
{
    quorum_tracker tracker(term(2), 5);
    tracker.record_report(member_id("a"), position_at(1), start);
    tracker.record_report(member_id("b"), position_at(1), start);
    EXPECT_FALSE(tracker.has_lease(start));
}

RC_GTEST_PROP(coverage_property, majority_holds_majority_position, ())
{
    const auto group = *rc::gen::inRange<std::size_t>(1, 6);
    quorum_tracker tracker(term(2), group);
    std::map<std::string, std::uint64_t> held;
    const auto reports = *rc::gen::inRange(0, 30);
    for (int i = 0; i < reports; ++i) {
        auto name = std::to_string(*rc::gen::inRange<std::size_t>(0, group));
        auto index = *rc::gen::inRange<std::uint64_t>(0, 50);
        held[name] = std::max(held[name], index);
        tracker.record_report(member_id(name), position_at(index), start);
    }
    auto covered = tracker.majority_position();
    std::size_t holders = 0;
    for (const auto& [name, index] : held) {
        holders += position_at(index) >= covered ? 1 : 0;
    }
    if (covered != position{}) {
        RC_ASSERT(holders >= majority_of(group));
    }
}

RC_GTEST_PROP(coverage_property, lease_expires_without_reports_of_majority, ())
{
    const auto group = *rc::gen::inRange<std::size_t>(2, 6);
    quorum_tracker tracker(term(2), group);
    for (std::size_t i = 0; i < group; ++i) {
        tracker.record_report(member_id(std::to_string(i)), position_at(1), start);
    }
    // Only a minority still answers; the others were fenced.
    const auto minority = group - majority_of(group);
    for (std::size_t i = 0; i < minority; ++i) {
        tracker.record_report(member_id(std::to_string(i)), position_at(1),
                              start + milliseconds(900));
    }
    RC_ASSERT_FALSE(tracker.has_lease(start + lease_length));
}

} // namespace papayabridge

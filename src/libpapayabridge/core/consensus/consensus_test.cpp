#include "consensus_simulation_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds settle_time{2000};
constexpr int groups_per_property = 15;

// A random fault or action.
struct incident
{
    unsigned action = 0;
    std::size_t keeper = 0;
    unsigned amount = 0;
};

using incident_action = void (*)(consensus_simulation&, const incident&);

void propose_at(consensus_simulation& group, const incident& event)
{
    auto leader_index = group.leader();
    for (unsigned i = 0; leader_index && i <= event.amount % 3; ++i) {
        group.propose(*leader_index);
    }
}

void crash_at(consensus_simulation& group, const incident& event)
{
    group.crash(event.keeper);
}

void restart_at(consensus_simulation& group, const incident& event)
{
    group.restart(event.keeper);
}

void isolate_at(consensus_simulation& group, const incident& event)
{
    group.set_isolated(event.keeper, event.amount % 2 == 0);
}

void fail_disk_at(consensus_simulation& group, const incident& event)
{
    group.set_disk_failing(event.keeper, event.amount % 2 == 0);
}

// Only one disk may be lost at a time, while all other keepers hold the committed
// entries: the next one only once the keeper that lost the last one is admitted again.
void lose_disk_at(consensus_simulation& group, const incident& event)
{
    if (group.all_disks_admitted()) {
        group.lose_disk(event.keeper);
    }
}

void compact_at(consensus_simulation& group, const incident& event)
{
    group.compact(event.keeper);
}

void transfer_at(consensus_simulation& group, const incident&)
{
    if (auto leader_index = group.leader()) {
        group.transfer(*leader_index);
    }
}

void step_clock_at(consensus_simulation& group, const incident& event)
{
    group.step_clock(event.keeper, milliseconds(event.amount * 100) - milliseconds(1000));
}

constexpr std::array<incident_action, 13> incident_actions{
    propose_at,  propose_at,    propose_at,  propose_at,   crash_at,
    restart_at,  restart_at,    isolate_at,  lose_disk_at, compact_at,
    transfer_at, step_clock_at, fail_disk_at};

rc::Gen<incident> any_incident(std::size_t keepers)
{
    return rc::gen::build<incident>(
        rc::gen::set(&incident::action, rc::gen::inRange(0U, 13U)),
        rc::gen::set(&incident::keeper, rc::gen::inRange<std::size_t>(0, keepers)),
        rc::gen::set(&incident::amount, rc::gen::inRange(0U, 20U)));
}

void check_random_group(std::size_t keepers)
{
    auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    auto loss = *rc::gen::inRange(0U, 25U);
    auto sequence = *rc::gen::container<std::vector<incident>>(60, any_incident(keepers));
    consensus_simulation group(keepers, seed);
    for (const auto& event : sequence) {
        incident_actions.at(event.action)(group, event);
        group.run(milliseconds(20 + event.amount * 15), loss);
        RC_ASSERT(group.violation() == "");
    }
    RC_ASSERT(group.recover_all());
    RC_ASSERT(group.violation() == "");
}

void check_random_groups(std::size_t keepers)
{
    for (int group = 0; group < groups_per_property; ++group) {
        check_random_group(keepers);
    }
}

std::size_t elect_leader(consensus_simulation& group)
{
    group.run(settle_time, 0);
    return group.leader().value();
}

std::size_t next_index(std::size_t index, std::size_t size)
{
    return (index + 1) % size;
}

} // namespace

RC_GTEST_PROP(consensus_property, three_keepers_keep_committed_entries, ())
{
    check_random_groups(3);
}

RC_GTEST_PROP(consensus_property, five_keepers_keep_committed_entries, ())
{
    check_random_groups(5);
}

TEST(consensus, group_elects_leader_and_commits)
{
    consensus_simulation group(3, 1);
    group.propose(elect_leader(group));
    group.run(settle_time, 0);
    // The new leader's own entry and the command.
    EXPECT_EQ(group.committed().size(), 2U);
    EXPECT_TRUE(group.recover_all());
}

TEST(consensus, single_keeper_commits_alone)
{
    consensus_simulation group(1, 1);
    group.propose(elect_leader(group));
    group.run(settle_time, 0);
    EXPECT_EQ(group.committed().size(), 2U);
}

TEST(consensus, leader_without_quorum_steps_down)
{
    consensus_simulation group(3, 2);
    auto leader_index = elect_leader(group);
    group.set_isolated(leader_index, true);
    group.propose(leader_index);
    group.run(settle_time, 0);
    EXPECT_NE(group.keeper(leader_index).machine->role(), keeper_role::leader);
    EXPECT_EQ(group.violation(), "");
}

TEST(consensus, a_leader_whose_disk_fails_is_replaced_and_follows_once_it_works)
{
    consensus_simulation group(3, 4);
    auto failing = elect_leader(group);
    group.set_disk_failing(failing, true);
    EXPECT_EQ(group.keeper(failing).machine->role(), keeper_role::follower);
    group.run(settle_time, 0);
    auto leader_index = group.leader();
    ASSERT_TRUE(leader_index);
    EXPECT_NE(*leader_index, failing);
    group.propose(*leader_index);
    group.run(settle_time, 0);
    auto committed = group.committed().size();
    EXPECT_LT(group.keeper(failing).applied.size(), committed);
    EXPECT_GT(group.keeper(failing).machine->pending_output(), 0U);
    group.set_disk_failing(failing, false);
    group.run(settle_time, 0);
    EXPECT_EQ(group.keeper(failing).applied.size(), group.committed().size());
    EXPECT_EQ(group.violation(), "");
}

// A leader that has not committed an entry of its term may not know the last commit of
// its predecessor.
TEST(consensus, a_commit_notice_is_of_the_present_leader)
{
    consensus_simulation group(3, 5);
    auto leader_index = elect_leader(group);
    group.propose(leader_index);
    group.run(settle_time, 0);
    for (std::size_t i = 0; i < group.size(); ++i) {
        const auto& notice = group.keeper(i).machine->last_commit_notice();
        ASSERT_TRUE(notice);
        EXPECT_EQ(notice->commit, control_index(group.committed().size()));
    }
    auto isolated = next_index(leader_index, group.size());
    group.set_isolated(isolated, true);
    auto before = group.keeper(isolated).machine->last_commit_notice()->at;
    group.run(settle_time, 0);
    EXPECT_LT(group.keeper(isolated).machine->last_commit_notice()->at - before,
              milliseconds(500));
}

TEST(consensus, isolated_keeper_does_not_raise_term)
{
    consensus_simulation group(3, 3);
    auto leader_index = elect_leader(group);
    auto isolated = next_index(leader_index, group.size());
    group.set_isolated(isolated, true);
    group.run(10 * settle_time, 0);
    auto term = group.keeper(leader_index).machine->term();
    EXPECT_EQ(group.keeper(isolated).machine->term(), term);
    group.set_isolated(isolated, false);
    group.run(settle_time, 0);
    EXPECT_EQ(group.leader(), leader_index);
    EXPECT_EQ(group.keeper(leader_index).machine->term(), term);
}

TEST(consensus, keeper_behind_compacted_log_gets_snapshot)
{
    consensus_simulation group(3, 4);
    auto leader_index = elect_leader(group);
    auto offline = next_index(leader_index, group.size());
    group.crash(offline);
    for (int i = 0; i < 400; ++i) {
        group.propose(leader_index);
    }
    group.run(settle_time, 0);
    group.compact(leader_index);
    group.restart(offline);
    group.run(2 * settle_time, 0);
    EXPECT_EQ(group.keeper(offline).applied.size(), 401U);
    EXPECT_TRUE(group.recover_all());
}

TEST(consensus, second_disk_loss_after_admission_loses_nothing)
{
    consensus_simulation group(3, 5);
    auto leader_index = elect_leader(group);
    auto first = next_index(leader_index, group.size());
    auto second = next_index(first, group.size());
    group.propose(leader_index);
    group.run(settle_time, 0);
    group.lose_disk(first);
    EXPECT_FALSE(group.all_disks_admitted());
    group.run(settle_time, 0);
    ASSERT_TRUE(group.all_disks_admitted());
    auto committed = group.committed().size();
    group.lose_disk(second);
    group.crash(leader_index);
    group.restart(leader_index);
    EXPECT_TRUE(group.recover_all());
    EXPECT_GT(group.committed().size(), committed);
    EXPECT_EQ(group.violation(), "");
}

TEST(consensus, leader_disk_loss_right_after_admission_is_survived)
{
    constexpr milliseconds step{10};
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        consensus_simulation group(3, seed);
        auto leader_index = elect_leader(group);
        group.lose_disk(next_index(leader_index, group.size()));
        for (int i = 0; i < 1000 && !group.all_disks_admitted(); ++i) {
            group.run(step, 0);
        }
        ASSERT_TRUE(group.all_disks_admitted()) << seed;
        group.lose_disk(group.leader().value());
        EXPECT_TRUE(group.recover_all()) << seed;
        EXPECT_EQ(group.violation(), "") << seed;
    }
}

TEST(consensus, keeper_not_admitted_neither_votes_nor_counts)
{
    consensus_simulation group(3, 6);
    auto leader_index = elect_leader(group);
    auto lost = next_index(leader_index, group.size());
    auto offline = next_index(lost, group.size());
    group.crash(offline);
    group.lose_disk(lost);
    auto committed = group.committed().size();
    group.propose(leader_index);
    group.run(2 * settle_time, 0);
    EXPECT_EQ(group.committed().size(), committed);
    EXPECT_FALSE(group.leader().has_value());
    group.restart(offline);
    EXPECT_TRUE(group.recover_all());
}

TEST(consensus, new_disk_is_admitted_with_new_incarnation_in_same_term)
{
    consensus_simulation group(3, 8);
    auto leader_index = elect_leader(group);
    auto lost = next_index(leader_index, group.size());
    auto old_term = group.keeper(leader_index).machine->term();
    auto old_incarnation = group.keeper(lost).disk.incarnation;
    group.lose_disk(lost);
    group.run(settle_time, 0);
    ASSERT_TRUE(group.all_disks_admitted());
    auto voters = group.keeper(leader_index).machine->voters();
    EXPECT_NE(voters[group.keeper(lost).id], old_incarnation);
    EXPECT_EQ(group.keeper(leader_index).machine->term(), old_term);
}

TEST(consensus, leadership_transfer_completes_within_election_timeout)
{
    consensus_simulation group(3, 7);
    auto leader_index = elect_leader(group);
    group.transfer(leader_index);
    group.run(milliseconds(350), 0);
    ASSERT_TRUE(group.leader().has_value());
    EXPECT_NE(group.leader(), leader_index);
    EXPECT_EQ(group.violation(), "");
}

} // namespace papayabridge

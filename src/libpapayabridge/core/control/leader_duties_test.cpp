#include "leader_duties.hpp"

#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

const leader_duties::time_point start(std::chrono::hours(1));
constexpr std::uint64_t incarnation = 5;

class leader_duties_test : public ::testing::Test
{
protected:
    leader_duties_test()
    {
        for (const auto* id : {"a", "b", "c"}) {
            entry_record entry{.id = entry_id(id), .incarnation = incarnation};
            entry.domain = domain_name(id);
            apply(register_entry{entry});
        }
        duties.start_leading(start);
    }

    void apply(const command& change)
    {
        state.apply(state.applied_index().next(), change);
    }

    void record_contact(const char* id, milliseconds at, std::uint64_t run = incarnation)
    {
        duties.record_contact({.id = entry_id(id), .incarnation = run}, start + at);
    }

    // The condition changes proposed at a time. All proposed commands are applied.
    std::vector<std::string> propose_changes(milliseconds at)
    {
        std::vector<std::string> changes;
        for (const auto& change : duties.due_commands(state, start + at)) {
            if (const auto* set = std::get_if<set_entry_condition>(&change)) {
                changes.push_back(set->entry.str() + " " +
                                  std::string(to_string(set->condition)));
            }
            apply(change);
        }
        return changes;
    }

    void form_database()
    {
        for (const auto* id : {"a", "b"}) {
            member_record member{.id = member_id(id), .domain = domain_name(id)};
            apply(announce_member{.database = key, .group_size = 3, .member = member});
        }
    }

    const database_key key{service_name("s"), database_name("d")};
    control_state state;
    leader_duties duties{
        {.entry_timeout = milliseconds(900), .transition_timeout = milliseconds(4000)}};
};

using strings = std::vector<std::string>;

} // namespace

TEST_F(leader_duties_test, new_leader_proposes_nothing_for_one_timeout)
{
    EXPECT_EQ(propose_changes(milliseconds(900)), strings());
    record_contact("a", milliseconds(500));
    EXPECT_EQ(propose_changes(milliseconds(901)), (strings{"b down", "c down"}));
}

TEST_F(leader_duties_test, entry_with_new_contact_is_up)
{
    record_contact("a", milliseconds(800));
    record_contact("b", milliseconds(800));
    EXPECT_EQ(propose_changes(milliseconds(1000)), strings{"c down"});
    record_contact("c", milliseconds(1600));
    record_contact("a", milliseconds(1600));
    record_contact("b", milliseconds(1600));
    EXPECT_EQ(propose_changes(milliseconds(1700)), strings{"c up"});
}

TEST_F(leader_duties_test, contact_with_other_run_does_not_count)
{
    record_contact("a", milliseconds(800));
    record_contact("b", milliseconds(800));
    record_contact("c", milliseconds(1600), incarnation + 1);
    EXPECT_EQ(propose_changes(milliseconds(1700)), strings{"c down"});
}

TEST_F(leader_duties_test, proposal_is_repeated_after_pause)
{
    auto first = duties.due_commands(state, start + milliseconds(1000));
    EXPECT_EQ(first.size(), 3U);
    EXPECT_TRUE(duties.due_commands(state, start + milliseconds(1100)).empty());
    EXPECT_EQ(duties.due_commands(state, start + milliseconds(1600)).size(), 3U);
}

TEST_F(leader_duties_test, follower_proposes_nothing)
{
    duties.stop_leading();
    EXPECT_TRUE(duties.due_commands(state, start + milliseconds(5000)).empty());
}

TEST_F(leader_duties_test, report_interval_limits_each_entry)
{
    record_contact("a", milliseconds(0));
    EXPECT_EQ(duties.take_contact_report(start).size(), 1U);
    record_contact("a", milliseconds(100));
    EXPECT_TRUE(duties.take_contact_report(start + milliseconds(100)).empty());
    EXPECT_EQ(duties.take_contact_report(start + milliseconds(300)).size(), 1U);
    EXPECT_TRUE(duties.take_contact_report(start + milliseconds(900)).empty());
}

TEST_F(leader_duties_test, overdue_transition_gets_another_driver)
{
    form_database();
    auto before = *state.database(key)->pending;
    for (int second = 1; second <= 5; ++second) {
        for (const auto* id : {"a", "b", "c"}) {
            record_contact(id, milliseconds(second * 1000));
        }
        propose_changes(milliseconds(second * 1000));
        EXPECT_EQ(state.database(key)->pending->term, before.term) << second;
    }
    record_contact("a", milliseconds(5100));
    propose_changes(milliseconds(5100));
    auto after = *state.database(key)->pending;
    EXPECT_EQ(after.term, before.term.next());
    EXPECT_NE(after.driver, before.driver);
    EXPECT_EQ(after.reason, transition_reason::driver_lost);
}

TEST_F(leader_duties_test, no_other_driver_without_another_entry)
{
    form_database();
    auto driver = state.database(key)->pending->driver;
    for (const auto* id : {"a", "b", "c"}) {
        if (entry_id(id) != driver) {
            apply(set_entry_condition{.entry = entry_id(id),
                                      .incarnation = incarnation,
                                      .condition = entry_condition::down});
        }
    }
    EXPECT_EQ(choose_other_driver(state, *state.database(key)), entry_id());
}

} // namespace papayabridge

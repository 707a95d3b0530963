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

    void hear(const char* id, milliseconds at, std::uint64_t run = incarnation)
    {
        duties.record_contact({.id = entry_id(id), .incarnation = run}, start + at);
    }

    // The conditions that are proposed at a time; all are applied.
    std::vector<std::string> judge(milliseconds at)
    {
        std::vector<std::string> changes;
        for (const auto& change : duties.due_commands(state, start + at)) {
            if (const auto* one = std::get_if<set_entry_condition>(&change)) {
                changes.push_back(one->entry.str() + " " +
                                  std::string(to_string(one->condition)));
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

TEST_F(leader_duties_test, a_new_leader_waits_a_whole_timeout)
{
    EXPECT_EQ(judge(milliseconds(900)), strings());
    hear("a", milliseconds(500));
    EXPECT_EQ(judge(milliseconds(901)), (strings{"b down", "c down"}));
}

TEST_F(leader_duties_test, an_entry_that_is_heard_again_is_up)
{
    hear("a", milliseconds(800));
    hear("b", milliseconds(800));
    EXPECT_EQ(judge(milliseconds(1000)), strings{"c down"});
    hear("c", milliseconds(1600));
    hear("a", milliseconds(1600));
    hear("b", milliseconds(1600));
    EXPECT_EQ(judge(milliseconds(1700)), strings{"c up"});
}

TEST_F(leader_duties_test, another_run_of_an_entry_does_not_count)
{
    hear("a", milliseconds(800));
    hear("b", milliseconds(800));
    hear("c", milliseconds(1600), incarnation + 1);
    EXPECT_EQ(judge(milliseconds(1700)), strings{"c down"});
}

TEST_F(leader_duties_test, a_proposal_is_not_repeated_at_once)
{
    auto first = duties.due_commands(state, start + milliseconds(1000));
    EXPECT_EQ(first.size(), 3U);
    EXPECT_TRUE(duties.due_commands(state, start + milliseconds(1100)).empty());
    EXPECT_EQ(duties.due_commands(state, start + milliseconds(1600)).size(), 3U);
}

TEST_F(leader_duties_test, who_does_not_lead_proposes_nothing)
{
    duties.stop_leading();
    EXPECT_TRUE(duties.due_commands(state, start + milliseconds(5000)).empty());
}

TEST_F(leader_duties_test, a_report_tells_each_entry_once_in_a_while)
{
    hear("a", milliseconds(0));
    EXPECT_EQ(duties.take_contact_report(start).size(), 1U);
    hear("a", milliseconds(100));
    EXPECT_TRUE(duties.take_contact_report(start + milliseconds(100)).empty());
    EXPECT_EQ(duties.take_contact_report(start + milliseconds(300)).size(), 1U);
    EXPECT_TRUE(duties.take_contact_report(start + milliseconds(900)).empty());
}

TEST_F(leader_duties_test, an_open_transition_gets_another_driver)
{
    form_database();
    auto before = *state.database(key)->pending;
    for (int second = 1; second <= 5; ++second) {
        for (const auto* id : {"a", "b", "c"}) {
            hear(id, milliseconds(second * 1000));
        }
        judge(milliseconds(second * 1000));
        EXPECT_EQ(state.database(key)->pending->term, before.term) << second;
    }
    hear("a", milliseconds(5100));
    judge(milliseconds(5100));
    auto after = *state.database(key)->pending;
    EXPECT_EQ(after.term, before.term.next());
    EXPECT_NE(after.driver, before.driver);
    EXPECT_EQ(after.reason, transition_reason::driver_lost);
}

TEST_F(leader_duties_test, without_another_entry_the_state_chooses_the_driver)
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

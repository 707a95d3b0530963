#include "operator_view.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/json.hpp>

namespace papayabridge {

using std::chrono::milliseconds;
using testing::Contains;
using testing::HasSubstr;
using testing::IsEmpty;

static keeper_view keeper(const char* id, const char* role)
{
    keeper_view view{.rpc = std::string(id) + ":1"};
    view.status.emplace();
    view.status->id = keeper_id(id);
    view.status->role = role;
    view.status->leader = keeper_id("k1");
    view.status->storage = "ok";
    return view;
}

static operator_view well()
{
    operator_view seen;
    seen.state.emplace();
    seen.keepers = {keeper("k1", "leader"), keeper("k2", "follower")};
    entry_view entry{.record = {.id = entry_id("e1"), .rpc = "e1:1"}};
    entry.status.emplace();
    seen.entries.push_back(entry);
    return seen;
}

static Json::Value event(std::uint64_t stamp, const char* process, const char* kind,
                         const char* detail = "")
{
    Json::Value value;
    value["stamp"] = Json::UInt64(stamp);
    value["process"] = process;
    value["event"] = kind;
    value["detail"] = detail;
    return value;
}

TEST(alarms, a_well_fleet_has_none)
{
    EXPECT_THAT(alarms_of(well()), IsEmpty());
}

TEST(alarms, each_fault_is_named)
{
    struct fault
    {
        void (*make)(operator_view&);
        const char* alarm;
    };
    const std::vector<fault> faults{
        {[](operator_view& seen) {
             seen.keepers[0].status->peers = {
                 {.id = keeper_id("k2"), .since_contact = milliseconds(61'000)}};
         },
         "keeper k2 is isolated: not heard by leader k1 for 61 s"},
        {[](operator_view& seen) {
             seen.keepers[0].status->peers = {{.id = keeper_id("k3")}};
         },
         "keeper k3 was never heard by leader k1"},
        {[](operator_view& seen) { seen.keepers[1].status.reset(); },
         "keeper at k2:1 cannot be reached"},
        {[](operator_view& seen) { seen.keepers[1].status->leader = keeper_id(); },
         "keeper k2 hears no leader"},
        {[](operator_view& seen) { seen.keepers[0].status->role = "follower"; },
         "no reachable keeper leads"},
        {[](operator_view& seen) { seen.keepers[1].status->storage = "disk full"; },
         "keeper k2: storage: disk full"},
        {[](operator_view& seen) { seen.entries[0].status.reset(); },
         "entry e1 at e1:1 cannot be reached"},
        {[](operator_view& seen) {
             seen.entries[0].status->view_age = milliseconds(9000);
         },
         "entry e1 has not heard a keeper for 9 s"},
        {[](operator_view& seen) {
             seen.state->apply(control_index(1),
                               change_configuration{.change = change_id("c")});
         },
         "entry e1 has configuration version 0 in force, not 1"},
        {[](operator_view& seen) {
             seen.state->apply(
                 control_index(1),
                 announce_member{.database = {service_name("s"), database_name("d")},
                                 .group_size = 3,
                                 .member = {.id = member_id("m")}});
         },
         "database s/d has no primary yet"},
        {[](operator_view& seen) {
             seen.entries[0].record.condition = entry_condition::down;
             seen.entries[0].status.reset();
         },
         "entry e1 is down"},
        {[](operator_view& seen) {
             member_record member{.id = member_id("m"), .gate = entry_id("e9")};
             seen.state->apply(control_index(1),
                               register_entry{.entry = {.id = entry_id("e9")}});
             seen.state->apply(
                 control_index(2),
                 announce_member{.database = {service_name("s"), database_name("d")},
                                 .member = member});
             seen.state->apply(control_index(3),
                               set_entry_condition{.entry = entry_id("e9"),
                                                   .condition = entry_condition::down});
         },
         "database s/d, member m is not served: its gate e9 is down"},
        {[](operator_view& seen) { seen.state.reset(); },
         "no keeper gave the control state"},
    };
    for (const auto& [make, alarm] : faults) {
        auto seen = well();
        make(seen);
        EXPECT_THAT(alarms_of(seen), Contains(HasSubstr(alarm)));
    }
}

TEST(alarms, a_keeper_that_leads_an_old_term_does_not_judge_its_peers)
{
    auto seen = well();
    seen.keepers[1].status->role = "leader";
    seen.keepers[1].status->term = 1;
    seen.keepers[1].status->peers = {{.id = keeper_id("k1")}};
    seen.keepers[0].status->term = 2;
    EXPECT_THAT(alarms_of(seen), IsEmpty());
}

TEST(timeline, events_are_merged_by_stamp_each_once)
{
    Json::Value one(Json::arrayValue);
    one.append(event(3, "e1", "entry_joined"));
    one.append(event(1, "e1", "process_started"));
    one.append("no event");
    Json::Value other(Json::arrayValue);
    other.append(event(2, "k1", "leader_elected"));
    other.append(event(3, "e1", "entry_joined"));
    auto merged = merge_events({one, other, Json::Value()});
    ASSERT_EQ(merged.size(), 3U);
    EXPECT_EQ(merged[1], event(2, "k1", "leader_elected"));
    EXPECT_EQ(event_line(event(1000ULL << 16U, "k1", "leader_elected", "alone")),
              "1970-01-01T00:00:01.000 65536000 k1 leader_elected alone");
}

TEST(timeline, a_request_is_explained_in_one_sentence)
{
    EXPECT_EQ(
        explain("r1", {event(1, "e1", "request_received"),
                       event(2, "e2", "request_queued"), event(3, "e2", "request_sent"),
                       event(4, "e1", "request_retried"), event(5, "e3", "request_sent"),
                       event(6, "e1", "request_answered", "200")}),
        "Request r1 was received by e1, was queued at e2, was sent to a member by e2 "
        "and e3, was retried 1 time(s), was answered by e1: 200.");
    EXPECT_THAT(explain("r1", {event(1, "e1", "request_refused", "overloaded")}),
                HasSubstr("was refused by e1: overloaded."));
    EXPECT_THAT(explain("r1", {event(1, "e1", "request_received")}),
                HasSubstr("has no recorded answer"));
    EXPECT_THAT(explain("r1", {}), HasSubstr("is not known"));
}

} // namespace papayabridge

#include <gtest/gtest.h>
#include <papayabridge/control_state.hpp>
#include <papayabridge/json.hpp>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

constexpr std::uint64_t first_run = 1;

// A state with short forms of the commands. The first letter of an entry or a member is
// its failure domain.
class fleet_model
{
public:
    command_outcome apply(const command& change)
    {
        return state.apply(state.applied_index().next(), change);
    }

    command_outcome configure(std::uint64_t base, const char* change)
    {
        Json::Value content;
        content["made_by"] = change;
        return apply(change_configuration{.base = config_version(base),
                                          .change = change_id(change),
                                          .author = "planner",
                                          .content = content});
    }

    command_outcome start_entry(const std::string& id)
    {
        entry_record entry{.id = entry_id(id), .incarnation = first_run};
        entry.domain = domain_name(id.substr(0, 1));
        return apply(register_entry{entry});
    }

    command_outcome set_condition(const std::string& id, entry_condition condition,
                                  std::uint64_t run = first_run)
    {
        return apply(set_entry_condition{
            .entry = entry_id(id), .incarnation = run, .condition = condition});
    }

    command_outcome announce(const std::string& id,
                             member_condition condition = member_condition::serving)
    {
        member_record member{.id = member_id(id), .domain = domain_name(id.substr(0, 1))};
        member.condition = condition;
        return apply(announce_member{.database = key, .group_size = 3, .member = member});
    }

    // Announces a member that caught up with the primary.
    command_outcome announce_complete(const std::string& id)
    {
        member_record member{.id = member_id(id), .domain = domain_name(id.substr(0, 1))};
        member.admitted = true;
        return apply(announce_member{.database = key, .group_size = 3, .member = member});
    }

    command_outcome complete(const std::string& primary)
    {
        return apply(complete_transition{.database = key,
                                         .term = database().highest_term(),
                                         .primary = member_id(primary)});
    }

    // Forms a database with entries and members in three domains and the primary in "a".
    void form_database()
    {
        for (const auto* entry : {"a1", "a2", "b1", "c1"}) {
            start_entry(entry);
        }
        for (const auto* member : {"am", "bm", "cm"}) {
            announce(member);
        }
        complete("am");
    }

    const database_record& database() const { return *state.database(key); }
    std::string gate_of(const std::string& member) const
    {
        return database().members.at(member_id(member)).gate.str();
    }

    const database_key key{service_name("s"), database_name("d")};
    control_state state;
};

std::string other_entry_of_a(const std::string& entry)
{
    return entry == "a1" ? "a2" : "a1";
}

} // namespace

TEST(control_state, second_change_on_same_base_is_refused)
{
    fleet_model fleet;
    EXPECT_EQ(fleet.configure(0, "x").version, config_version(1));
    auto second = fleet.configure(0, "y");
    EXPECT_FALSE(second.accepted);
    EXPECT_EQ(second.problem.kind, error_kind::version_conflict);
    EXPECT_NE(second.problem.detail.find("planner"), std::string::npos);
    EXPECT_NE(second.problem.detail.find("change x"), std::string::npos);
    EXPECT_EQ(fleet.state.configuration().change, change_id("x"));
}

TEST(control_state, resent_change_gets_first_outcome)
{
    fleet_model fleet;
    fleet.configure(0, "x");
    fleet.configure(0, "lost");
    fleet.configure(1, "y");
    EXPECT_EQ(fleet.configure(0, "x").version, config_version(1));
    EXPECT_FALSE(fleet.configure(2, "lost").accepted);
    EXPECT_EQ(fleet.state.configuration().version, config_version(2));
    EXPECT_EQ(fleet.state.configuration().change, change_id("y"));
}

TEST(control_state, commands_without_id_are_refused)
{
    fleet_model fleet;
    for (const auto& outcome : {fleet.configure(0, ""), fleet.apply(register_entry{}),
                                fleet.apply(announce_member{})})
    {
        EXPECT_FALSE(outcome.accepted);
        EXPECT_EQ(outcome.problem.kind, error_kind::bad_request);
    }
}

TEST(control_state, database_forms_once_majority_announced)
{
    fleet_model fleet;
    fleet.start_entry("a1");
    fleet.announce("am");
    EXPECT_FALSE(fleet.database().pending);
    fleet.announce("bm");
    ASSERT_TRUE(fleet.database().pending);
    EXPECT_EQ(fleet.database().pending->reason, transition_reason::formed);
    EXPECT_EQ(fleet.database().pending->driver, entry_id("a1"));
}

TEST(control_state, database_forms_after_entry_was_lost)
{
    fleet_model fleet;
    fleet.start_entry("a1");
    fleet.start_entry("b1");
    fleet.announce("am");
    fleet.set_condition("a1", entry_condition::down);
    EXPECT_FALSE(fleet.database().pending);
    fleet.announce("bm");
    EXPECT_TRUE(fleet.database().pending);
}

TEST(control_state, gates_are_in_domain_of_member)
{
    fleet_model fleet;
    fleet.form_database();
    EXPECT_EQ(fleet.gate_of("am").front(), 'a');
    EXPECT_EQ(fleet.gate_of("bm"), "b1");
    EXPECT_EQ(fleet.gate_of("cm"), "c1");
}

TEST(control_state, entry_started_during_forming_gets_gates)
{
    fleet_model fleet;
    fleet.start_entry("b1");
    for (const auto* member : {"am", "bm", "cm"}) {
        fleet.announce(member);
    }
    fleet.start_entry("a1");
    fleet.complete("bm");
    EXPECT_EQ(fleet.gate_of("am"), "a1");
    EXPECT_EQ(fleet.gate_of("bm"), "b1");
    EXPECT_EQ(fleet.gate_of("cm"), "");
}

TEST(control_state, second_transition_on_same_base_is_refused)
{
    fleet_model fleet;
    fleet.form_database();
    begin_transition begin{.database = fleet.key,
                           .base = fleet.database().highest_term(),
                           .reason = transition_reason::primary_lost};
    EXPECT_TRUE(fleet.apply(begin).accepted);
    auto second = fleet.apply(begin);
    EXPECT_FALSE(second.accepted);
    EXPECT_EQ(second.problem.kind, error_kind::superseded);
}

TEST(control_state, only_pending_term_can_be_completed)
{
    fleet_model fleet;
    fleet.form_database();
    auto published = fleet.database().term;
    complete_transition complete{
        .database = fleet.key, .term = published, .primary = member_id("am")};
    EXPECT_TRUE(fleet.apply(complete).accepted) << "resent";
    complete.primary = member_id("bm");
    EXPECT_FALSE(fleet.apply(complete).accepted) << "another primary";
    complete.term = published.next();
    EXPECT_FALSE(fleet.apply(complete).accepted) << "not pending";
    EXPECT_EQ(fleet.database().primary, member_id("am"));
}

TEST(control_state, lost_gate_moves_within_domain)
{
    fleet_model fleet;
    fleet.form_database();
    auto lost = fleet.gate_of("am");
    fleet.set_condition(lost, entry_condition::down);
    ASSERT_TRUE(fleet.database().pending);
    EXPECT_EQ(fleet.database().pending->reason, transition_reason::gate_lost);
    fleet.complete("am");
    EXPECT_EQ(fleet.gate_of("am"), other_entry_of_a(lost));
}

TEST(control_state, draining_gate_moves_as_planned)
{
    fleet_model fleet;
    fleet.form_database();
    auto leaving = fleet.gate_of("am");
    fleet.set_condition(leaving, entry_condition::draining);
    ASSERT_TRUE(fleet.database().pending);
    EXPECT_TRUE(fleet.database().pending->planned);
    EXPECT_EQ(fleet.database().pending->driver, entry_id(other_entry_of_a(leaving)));
}

TEST(control_state, replica_keeps_lost_gate_without_alternative)
{
    fleet_model fleet;
    fleet.form_database();
    fleet.set_condition("b1", entry_condition::down);
    EXPECT_FALSE(fleet.database().pending) << "nothing would be better at a higher term";
    EXPECT_EQ(fleet.gate_of("bm"), "b1");
}

TEST(control_state, primary_gate_returns_to_its_domain)
{
    fleet_model fleet;
    fleet.form_database();
    fleet.set_condition("a1", entry_condition::down);
    fleet.set_condition("a2", entry_condition::down);
    fleet.complete("am");
    EXPECT_NE(fleet.gate_of("am").front(), 'a');
    fleet.set_condition("a2", entry_condition::up);
    ASSERT_TRUE(fleet.database().pending);
    EXPECT_TRUE(fleet.database().pending->planned);
    fleet.complete("am");
    EXPECT_EQ(fleet.gate_of("am"), "a2");
}

TEST(control_state, unrelated_entry_does_not_replace_pending_transition)
{
    fleet_model fleet;
    fleet.form_database();
    fleet.set_condition(fleet.gate_of("am"), entry_condition::down);
    auto assigned = fleet.database().highest_term();
    fleet.start_entry("b2");
    fleet.start_entry("c2");
    EXPECT_EQ(fleet.database().highest_term(), assigned);
}

TEST(control_state, lost_driver_is_replaced)
{
    fleet_model fleet;
    fleet.form_database();
    fleet.set_condition(fleet.gate_of("am"), entry_condition::down);
    auto driver = fleet.database().pending->driver;
    fleet.set_condition(driver.str(), entry_condition::down);
    EXPECT_EQ(fleet.database().pending->reason, transition_reason::driver_lost);
    EXPECT_NE(fleet.database().pending->driver, driver);
}

TEST(control_state, transition_without_driver_gets_next_entry_up)
{
    fleet_model fleet;
    fleet.form_database();
    for (const auto* entry : {"a1", "a2", "b1", "c1"}) {
        fleet.set_condition(entry, entry_condition::down);
    }
    EXPECT_EQ(fleet.database().pending->driver, entry_id());
    fleet.start_entry("c2");
    EXPECT_EQ(fleet.database().pending->driver, entry_id("c2"));
}

TEST(control_state, condition_of_other_run_is_refused)
{
    fleet_model fleet;
    fleet.start_entry("a1");
    auto outcome = fleet.set_condition("a1", entry_condition::down, first_run + 1);
    EXPECT_EQ(outcome.problem.kind, error_kind::superseded);
    EXPECT_EQ(fleet.set_condition("z", entry_condition::down).problem.kind,
              error_kind::not_found);
    EXPECT_EQ(fleet.state.entry(entry_id("a1"))->condition, entry_condition::up);
}

TEST(control_state, leaving_primary_begins_planned_transition_once)
{
    fleet_model fleet;
    fleet.form_database();
    fleet.announce("bm", member_condition::leaving);
    EXPECT_FALSE(fleet.database().pending);
    fleet.announce("am", member_condition::leaving);
    ASSERT_TRUE(fleet.database().pending);
    EXPECT_EQ(fleet.database().pending->reason, transition_reason::member_leaving);
    auto assigned = fleet.database().highest_term();
    fleet.announce("am", member_condition::leaving);
    EXPECT_EQ(fleet.database().highest_term(), assigned);
}

namespace {

command any_command()
{
    static const std::vector<std::string> entries{"a1", "a2", "b1", "c1", "c2"};
    static const std::vector<std::string> members{"am", "bm", "cm"};
    const database_key key{service_name("s"), database_name("d")};
    auto entry = *rc::gen::elementOf(entries);
    auto member = *rc::gen::elementOf(members);
    auto number = *rc::gen::inRange<std::uint64_t>(0, 6);
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return change_configuration{.base = config_version(number),
                                    .change = change_id(member)};
    case 1:
        return register_entry{{.id = entry_id(entry),
                               .incarnation = number % 2,
                               .domain = domain_name(entry.substr(0, 1))}};
    case 2:
        return set_entry_condition{.entry = entry_id(entry),
                                   .incarnation = number % 2,
                                   .condition = static_cast<entry_condition>(number % 3)};
    case 3:
        return announce_member{
            .database = key,
            .group_size = 3,
            .member = {.id = member_id(member),
                       .domain = domain_name(member.substr(0, 1)),
                       .condition = static_cast<member_condition>(number % 2)}};
    case 4:
        return begin_transition{.database = key, .base = term(number)};
    default:
        return complete_transition{
            .database = key, .term = term(number), .primary = member_id(member)};
    }
}

} // namespace

RC_GTEST_PROP(control_state_property, terms_and_versions_never_decrease, ())
{
    control_state state;
    config_version version;
    std::map<database_key, std::pair<term, term>> terms;
    for (std::uint64_t index = 1; index <= 60; ++index) {
        auto change = any_command();
        auto read = command_from(to_value(change));
        RC_ASSERT(read.has_value());
        state.apply(control_index(index), read.value());
        RC_ASSERT(state.configuration().version >= version);
        version = state.configuration().version;
        for (const auto& [key, database] : state.databases()) {
            auto& [published, highest] = terms[key];
            RC_ASSERT(database.term >= published);
            RC_ASSERT(database.highest_term() >= highest);
            published = database.term;
            highest = database.highest_term();
        }
    }
}

RC_GTEST_PROP(control_state_property, restored_snapshot_continues_like_original, ())
{
    control_state state;
    for (std::uint64_t index = 1; index <= 40; ++index) {
        state.apply(control_index(index), any_command());
    }
    auto text = to_json(state.snapshot());
    auto copy = control_state::from_snapshot(parse_json(text).value());
    RC_ASSERT(copy.has_value());
    RC_ASSERT(to_json(copy.value().snapshot()) == text);
    for (std::uint64_t index = 41; index <= 60; ++index) {
        auto change = any_command();
        auto left = state.apply(control_index(index), change);
        auto right = copy.value().apply(control_index(index), change);
        RC_ASSERT(to_value(left) == to_value(right));
    }
    RC_ASSERT(to_json(copy.value().snapshot()) == to_json(state.snapshot()));
}

namespace {

// Members "am" and "bm" formed the database; "cm" announced itself but took no part.
fleet_model formed_by_two()
{
    fleet_model fleet;
    for (const auto* entry : {"a1", "a2", "b1", "c1"}) {
        fleet.start_entry(entry);
    }
    for (const auto* member : {"am", "bm", "cm"}) {
        fleet.announce(member);
    }
    fleet.apply(complete_transition{.database = fleet.key,
                                    .term = fleet.database().highest_term(),
                                    .primary = member_id("am"),
                                    .founders = {member_id("am"), member_id("bm")}});
    return fleet;
}

} // namespace

// Both founders hold each acknowledged write, so one of them is enough for a new term.
TEST(control_state, quorum_is_one_of_two_founders)
{
    auto fleet = formed_by_two();
    EXPECT_FALSE(fleet.database().members.at(member_id("cm")).admitted);
    EXPECT_EQ(fleet.database().fencing_quorum(), 1u);
}

TEST(control_state, caught_up_member_stays_admitted)
{
    auto fleet = formed_by_two();
    fleet.announce_complete("cm");
    EXPECT_EQ(fleet.database().fencing_quorum(), 2u);
    fleet.announce("cm");
    EXPECT_TRUE(fleet.database().members.at(member_id("cm")).admitted);
}

TEST(control_state, no_member_is_admitted_during_transition)
{
    auto fleet = formed_by_two();
    fleet.apply(begin_transition{.database = fleet.key,
                                 .base = fleet.database().highest_term(),
                                 .reason = transition_reason::primary_lost});
    fleet.announce_complete("cm");
    EXPECT_FALSE(fleet.database().members.at(member_id("cm")).admitted);
    fleet.complete("bm");
    fleet.announce_complete("cm");
    EXPECT_TRUE(fleet.database().members.at(member_id("cm")).admitted);
}

TEST(control_state, snapshot_without_admissions_counts_every_member)
{
    auto fleet = formed_by_two();
    auto value = fleet.state.snapshot();
    for (auto& database : value["databases"]) {
        database.removeMember("copies");
        for (auto& member : database["members"]) {
            member.removeMember("admitted");
        }
    }
    auto restored = control_state::from_snapshot(value);
    ASSERT_TRUE(restored);
    EXPECT_EQ(restored.value().database(fleet.key)->fencing_quorum(), 2u);
}

// Each quorum for a new term includes a holder of every write that `copies` admitted
// members held, no matter how many members were admitted since.
RC_GTEST_PROP(control_state, fencing_quorum_includes_holder_of_every_write, ())
{
    const auto group = *rc::gen::inRange<unsigned>(1, 8);
    const auto copies = majority_of(group);
    const auto at_write = *rc::gen::inRange<std::size_t>(copies, group + 1);
    const auto at_fence = *rc::gen::inRange<std::size_t>(at_write, group + 1);
    database_record record;
    record.group_size = group;
    record.copies = copies;
    for (std::size_t i = 0; i < group; ++i) {
        record.members[member_id("m" + std::to_string(i))].admitted = i < at_fence;
    }
    RC_ASSERT(record.fencing_quorum() + copies > at_fence);
    RC_ASSERT(record.fencing_quorum() >= 1u);
    RC_ASSERT(record.fencing_quorum() <= at_fence);
}

} // namespace papayabridge

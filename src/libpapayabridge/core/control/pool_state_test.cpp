#include <gtest/gtest.h>
#include <papayabridge/control_state.hpp>

namespace papayabridge {

namespace {

pooled_member announcement(const std::string& id, std::uint64_t sequence,
                           std::uint64_t started_ms = 100)
{
    return {.run = {.id = member_id(id), .started_ms = started_ms},
            .service = service_name("s"),
            .endpoint = "10.0.0." + id.substr(1) + ":80",
            .sequence = sequence};
}

pooled_member primary_claim(const std::string& id, std::uint64_t sequence,
                            std::uint64_t started_ms = 100)
{
    auto claimant = announcement(id, sequence, started_ms);
    claimant.claims_primary = true;
    return claimant;
}

struct replicated_state
{
    template <class Change>
    void apply(Change change)
    {
        state.apply(control_index(++index), change);
    }
    const pool_state& pool() const { return state.pool(); }
    const pooled_service& service() const
    {
        return pool().services().at(service_name("s"));
    }

    control_state state;
    std::uint64_t index = 0;
};

} // namespace

TEST(pool_state, highest_version_takes_effect)
{
    replicated_state origin;
    origin.apply(publish_configuration{{.version = config_version(5), .text = "five"}});
    origin.apply(publish_configuration{{.version = config_version(4), .text = "four"}});
    origin.apply(publish_configuration{{.version = config_version(5), .text = "other"}});
    EXPECT_EQ(origin.pool().configuration().text, "five");
}

TEST(pool_state, an_address_is_given_up_until_its_keeper_registers_again)
{
    replicated_state origin;
    keeper_record first{.id = keeper_id("k1"), .rpc = "10.0.0.9:70"};
    keeper_record second{.id = keeper_id("k2"), .rpc = "10.0.0.8:70"};
    origin.apply(register_keeper{first});
    origin.apply(register_keeper{second});
    origin.apply(register_keeper{{.id = first.id}});
    EXPECT_EQ(origin.pool().keepers().count(first.id), 0U);
    EXPECT_EQ(origin.pool().keepers().at(second.id).rpc, second.rpc);
    origin.apply(register_keeper{first});
    EXPECT_EQ(origin.pool().keepers().at(first.id).rpc, first.rpc);
}

TEST(pool_state, delayed_announcement_is_ignored_and_new_run_is_accepted)
{
    replicated_state origin;
    auto leaving = announcement("m1", 9);
    leaving.leaving = true;
    origin.apply(report_member{announcement("m1", 4)});
    origin.apply(report_member{leaving});
    EXPECT_FALSE(origin.pool().is_update(announcement("m1", 5))) << "delayed";
    EXPECT_FALSE(origin.pool().is_update(announcement("m1", 12))) << "still leaving";
    EXPECT_TRUE(origin.pool().is_update(announcement("m1", 1, 200))) << "another run";
    origin.apply(report_member{announcement("m1", 1, 200)});
    EXPECT_FALSE(origin.pool().is_update(leaving)) << "of an earlier run";
    EXPECT_FALSE(origin.pool().member(member_id("m1"))->leaving);
}

TEST(pool_state, removed_run_is_not_added_again)
{
    replicated_state origin;
    origin.apply(report_member{announcement("m1", 4)});
    origin.apply(remove_member{{.id = member_id("m1"), .started_ms = 100}});
    origin.apply(report_member{announcement("m1", 5)});
    EXPECT_EQ(origin.pool().member(member_id("m1")), nullptr);
    origin.apply(report_member{announcement("m1", 1, 200)});
    EXPECT_NE(origin.pool().member(member_id("m1")), nullptr);
}

TEST(pool_state, address_belongs_to_member_started_last)
{
    replicated_state origin;
    origin.apply(report_member{announcement("m1", 4)});
    auto newer = announcement("m2", 1, 300);
    newer.endpoint = "10.0.0.1:80";
    origin.apply(report_member{newer});
    EXPECT_EQ(origin.pool().member(member_id("m1")), nullptr);
    EXPECT_FALSE(origin.pool().is_update(announcement("m1", 5)));
}

TEST(pool_state, primary_claim_counts_only_without_primary_or_from_target)
{
    replicated_state origin;
    origin.apply(report_member{primary_claim("m1", 1)});
    origin.apply(report_member{announcement("m2", 1)});
    origin.apply(report_member{primary_claim("m2", 2)});
    EXPECT_EQ(origin.service().primary, member_id("m1"));
    origin.apply(begin_promotion{.service = service_name("s")});
    auto token = control_index(origin.index);
    origin.apply(choose_target{
        .service = service_name("s"), .fencing_token = token, .target = member_id("m2")});
    auto again = announcement("m2", 3);
    origin.apply(report_member{again});
    origin.apply(report_member{primary_claim("m2", 4)});
    EXPECT_EQ(origin.service().primary, member_id("m2"));
    EXPECT_FALSE(origin.service().pending);
    EXPECT_EQ(origin.service().primary_changes, 2U);
}

TEST(pool_state, confirmation_with_earlier_token_is_ignored)
{
    replicated_state origin;
    origin.apply(report_member{primary_claim("m1", 1)});
    origin.apply(begin_promotion{.service = service_name("s")});
    auto early = control_index(origin.index);
    origin.apply(begin_promotion{.service = service_name("s")});
    origin.apply(confirm_primary{.service = service_name("s"),
                                 .fencing_token = early,
                                 .primary = member_id("m2")});
    EXPECT_EQ(origin.service().primary, member_id("m1"));
    EXPECT_TRUE(origin.service().pending);
}

TEST(pool_state, commands_and_snapshot_round_trip_through_json)
{
    replicated_state origin;
    std::vector<command> commands{
        publish_configuration{{.version = config_version(5), .text = "{\"a\":1}"}},
        register_keeper{{.id = keeper_id("k1"), .rpc = "10.0.0.9:70"}},
        report_member{primary_claim("m1", 1)},
        report_member{announcement("m2", 3)},
        begin_promotion{.service = service_name("s"), .reason = "lost"},
        choose_target{.service = service_name("s"),
                      .fencing_token = control_index(5),
                      .target = member_id("m2")},
        remove_member{{.id = member_id("m1"), .started_ms = 100}},
        read_barrier{},
    };
    replicated_state copy;
    for (const auto& change : commands) {
        origin.apply(change);
        auto copied = command_from(to_value(change));
        ASSERT_TRUE(copied);
        copy.apply(copied.value());
    }
    EXPECT_EQ(origin.state.snapshot(), copy.state.snapshot());
    auto restored = control_state::from_snapshot(origin.state.snapshot());
    ASSERT_TRUE(restored);
    EXPECT_EQ(restored.value().snapshot(), origin.state.snapshot());
    EXPECT_EQ(restored.value().pool().services().at(service_name("s")).pending->target,
              member_id("m2"));
}

namespace {

// A service with primary "m1" and replicas "m2" and "m3".
replicated_state three_members()
{
    replicated_state origin;
    origin.apply(report_member{primary_claim("m1", 1)});
    origin.apply(report_member{announcement("m2", 1)});
    origin.apply(report_member{announcement("m3", 1)});
    return origin;
}

const service_name service_id("s");

} // namespace

// A new leader did not know of a replica that had left with the only copy of commits, and
// promoted another one.
TEST(pool_state, departed_replica_is_known_until_it_is_covered)
{
    auto origin = three_members();
    member_run left{.id = member_id("m3"), .started_ms = 100};
    origin.apply(remove_member{.run = left});
    ASSERT_EQ(origin.pool().departed_of(service_id), std::vector<member_run>{left});
    EXPECT_EQ(origin.pool().departed().at(left).endpoint, "10.0.0.3:80");
    auto restored = pool_state::from_snapshot(origin.pool().snapshot());
    EXPECT_EQ(restored.departed_of(service_id), std::vector<member_run>{left});
    EXPECT_EQ(restored.departed().at(left).since,
              origin.pool().departed().at(left).since);
    origin.apply(remove_member{.run = left, .is_covered = true});
    EXPECT_TRUE(origin.pool().departed().empty());
}

TEST(pool_state, replica_that_is_born_anew_or_replaced_has_departed)
{
    auto origin = three_members();
    origin.apply(report_member{announcement("m2", 1, 200)});
    EXPECT_EQ(origin.pool().departed_of(service_id).size(), 1U);
    auto newer = announcement("m4", 1, 300);
    newer.endpoint = "10.0.0.3:80";
    origin.apply(report_member{newer});
    EXPECT_EQ(origin.pool().departed_of(service_id).size(), 2U);
    origin.apply(remove_member{.run = {.id = member_id("m2"), .started_ms = 100},
                               .is_covered = true});
    EXPECT_EQ(origin.pool().departed_of(service_id).size(), 1U);
    EXPECT_NE(origin.pool().member(member_id("m2")), nullptr);
}

TEST(pool_state, primary_that_leaves_is_no_departed_replica)
{
    auto origin = three_members();
    origin.apply(remove_member{.run = {.id = member_id("m1"), .started_ms = 100}});
    EXPECT_TRUE(origin.pool().departed().empty());
}

TEST(pool_state, promotion_covers_replicas_that_left_before_it_began)
{
    auto origin = three_members();
    origin.apply(remove_member{.run = {.id = member_id("m3"), .started_ms = 100}});
    origin.apply(begin_promotion{.service = service_id});
    auto token = control_index(origin.index);
    origin.apply(report_member{announcement("m4", 1)});
    origin.apply(choose_target{
        .service = service_id, .fencing_token = token, .target = member_id("m2")});
    origin.apply(remove_member{.run = {.id = member_id("m4"), .started_ms = 100}});
    origin.apply(confirm_primary{
        .service = service_id, .fencing_token = token, .primary = member_id("m2")});
    ASSERT_EQ(origin.pool().departed_of(service_id).size(), 1U);
    EXPECT_EQ(origin.pool().departed_of(service_id).front().id, member_id("m4"));
}

// The service keeps its primary and with it the commits that only the departed held.
TEST(pool_state, reaffirmed_primary_covers_nothing)
{
    auto origin = three_members();
    origin.apply(remove_member{.run = {.id = member_id("m3"), .started_ms = 100}});
    origin.apply(begin_promotion{.service = service_id});
    origin.apply(confirm_primary{.service = service_id,
                                 .fencing_token = control_index(origin.index),
                                 .primary = member_id("m1")});
    EXPECT_EQ(origin.pool().departed_of(service_id).size(), 1U);
}

TEST(pool_state, primary_ordered_again_covers_nothing)
{
    auto origin = three_members();
    origin.apply(remove_member{.run = {.id = member_id("m3"), .started_ms = 100}});
    origin.apply(begin_promotion{.service = service_id});
    auto token = control_index(origin.index);
    origin.apply(choose_target{
        .service = service_id, .fencing_token = token, .target = member_id("m1")});
    origin.apply(confirm_primary{
        .service = service_id, .fencing_token = token, .primary = member_id("m1")});
    EXPECT_EQ(origin.pool().departed_of(service_id).size(), 1U);
    EXPECT_FALSE(origin.service().pending);
}

TEST(pool_state, run_in_which_the_primary_leads_is_known)
{
    auto origin = three_members();
    EXPECT_EQ(origin.service().primary_started_ms, 100U);
    // Back as a replica: it may have lost its log.
    origin.apply(report_member{announcement("m1", 1, 200)});
    EXPECT_EQ(origin.service().primary_started_ms, 100U);
    auto restored = pool_state::from_snapshot(origin.pool().snapshot());
    EXPECT_EQ(restored.services().at(service_id).primary_started_ms, 100U);
    auto back = primary_claim("m1", 2);
    back.run.started_ms = 200;
    origin.apply(report_member{back});
    EXPECT_EQ(origin.service().primary_started_ms, 200U);
}

// Until a primary is confirmed, an order of an earlier attempt may take effect.
TEST(pool_state, attempt_after_an_order_knows_its_target)
{
    auto origin = three_members();
    auto begin = [&] {
        origin.apply(begin_promotion{.service = service_id});
        return control_index(origin.index);
    };
    auto choose = [&](control_index token, const char* target) {
        origin.apply(choose_target{
            .service = service_id, .fencing_token = token, .target = member_id(target)});
    };
    using targets = std::vector<member_id>;
    auto token = begin();
    EXPECT_EQ(origin.service().pending->outstanding, targets());
    choose(token, "m2");
    token = begin();
    EXPECT_EQ(origin.service().pending->outstanding, targets{member_id("m2")});
    choose(token, "m2");
    token = begin();
    EXPECT_EQ(origin.service().pending->outstanding, targets{member_id("m2")});
    choose(token, "m3");
    begin();
    token = begin();
    targets both{member_id("m2"), member_id("m3")};
    EXPECT_EQ(origin.service().pending->outstanding, both);
    auto restored = pool_state::from_snapshot(origin.pool().snapshot());
    EXPECT_EQ(restored.services().at(service_id).pending->outstanding, both);
    origin.apply(confirm_primary{
        .service = service_id, .fencing_token = token, .primary = member_id("m1")});
    begin();
    EXPECT_EQ(origin.service().pending->outstanding, targets());
}

TEST(pool_state, refused_order_is_not_outstanding)
{
    auto origin = three_members();
    origin.apply(begin_promotion{.service = service_id});
    auto token = control_index(origin.index);
    origin.apply(choose_target{
        .service = service_id, .fencing_token = token, .target = member_id("m2")});
    origin.apply(choose_target{.service = service_id, .fencing_token = token});
    origin.apply(begin_promotion{.service = service_id});
    EXPECT_TRUE(origin.service().pending->outstanding.empty());
}

TEST(pool_state, order_recorded_by_an_earlier_version_has_an_unknown_target)
{
    auto origin = three_members();
    origin.apply(begin_promotion{.service = service_id});
    auto snapshot = origin.pool().snapshot();
    snapshot["services"]["s"]["follows_order"] = true;
    auto restored = pool_state::from_snapshot(snapshot);
    EXPECT_EQ(restored.services().at(service_id).pending->outstanding,
              std::vector<member_id>{member_id()});
}

// Commits were lost after a member's first order took effect while a later order of
// another member was still to do so.
TEST(pool_state, leader_settles_only_orders_before_its_own)
{
    struct row
    {
        std::vector<std::string> outstanding;
        std::string target;
        std::string leader;
        bool settles;
    };
    const row rows[] = {
        {{}, "m2", "m2", true},
        {{}, "m2", "m3", false},
        {{"m2"}, "m2", "m2", true},
        {{"m3"}, "m2", "m2", true},
        {{"m2", "m3"}, "m2", "m2", false},
        // It may not have taken over again yet.
        {{}, "m1", "m1", false},
        {{}, "", "", false},
    };
    for (const auto& row : rows) {
        pooled_service service{.primary = member_id("m1"), .pending = promotion{}};
        service.pending->target = member_id(row.target);
        for (const auto& target : row.outstanding) {
            service.pending->outstanding.emplace_back(target);
        }
        EXPECT_EQ(settles_orders(service, member_id(row.leader)), row.settles)
            << row.target << " " << row.leader;
    }
}

TEST(pool_state, announced_lead_does_not_end_a_promotion_with_another_order_outstanding)
{
    auto origin = three_members();
    for (const auto* target : {"m2", "m3", "m2"}) {
        origin.apply(begin_promotion{.service = service_id});
        origin.apply(choose_target{.service = service_id,
                                   .fencing_token = control_index(origin.index),
                                   .target = member_id(target)});
    }
    origin.apply(report_member{primary_claim("m2", 9)});
    EXPECT_TRUE(origin.service().pending);
    EXPECT_EQ(origin.service().primary, member_id("m1"));
}

TEST(pool_state, snapshot_of_an_earlier_version_has_no_departed_members)
{
    auto origin = three_members();
    auto snapshot = origin.pool().snapshot();
    snapshot.removeMember("departed");
    auto restored = pool_state::from_snapshot(snapshot);
    EXPECT_TRUE(restored.departed().empty());
    EXPECT_EQ(restored.members().size(), 3U);
}

TEST(pool_state, suspicion_lasts_until_the_primary_changes)
{
    replicated_state origin;
    origin.apply(report_member{primary_claim("m1", 1)});
    origin.apply(report_member{announcement("m2", 1)});
    suspect_primary of_another{
        .service = service_name("s"), .primary = member_id("m2"), .is_suspected = true};
    origin.apply(of_another);
    EXPECT_EQ(origin.service().suspected_since, control_index());
    suspect_primary change{
        .service = service_name("s"), .primary = member_id("m1"), .is_suspected = true};
    origin.apply(change);
    EXPECT_EQ(origin.service().suspected_since, control_index(origin.index));
    auto copy = pool_state::from_snapshot(origin.pool().snapshot());
    EXPECT_EQ(copy.services().at(service_name("s")).suspected_since,
              control_index(origin.index));
    change.is_suspected = false;
    origin.apply(change);
    EXPECT_EQ(origin.service().suspected_since, control_index());
    change.is_suspected = true;
    origin.apply(change);
    origin.apply(begin_promotion{.service = service_name("s")});
    confirm_primary promoted{.service = service_name("s"),
                             .fencing_token = control_index(origin.index),
                             .primary = member_id("m2")};
    origin.apply(promoted);
    EXPECT_EQ(origin.service().suspected_since, control_index());
}

} // namespace papayabridge

#include <gtest/gtest.h>
#include <papayabridge/control_state.hpp>

namespace papayabridge {

namespace {

pooled_member member(const std::string& id, std::uint64_t sequence,
                     std::uint64_t started_ms = 100)
{
    return {.run = {.id = member_id(id), .started_ms = started_ms},
            .service = service_name("s"),
            .endpoint = "10.0.0." + id.substr(1) + ":80",
            .sequence = sequence};
}

pooled_member primary(const std::string& id, std::uint64_t sequence,
                      std::uint64_t started_ms = 100)
{
    auto one = member(id, sequence, started_ms);
    one.claims_primary = true;
    return one;
}

struct replicated
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

TEST(pool_state, the_highest_version_takes_effect)
{
    replicated all;
    all.apply(publish_configuration{{.version = config_version(5), .text = "five"}});
    all.apply(publish_configuration{{.version = config_version(4), .text = "four"}});
    all.apply(publish_configuration{{.version = config_version(5), .text = "other"}});
    EXPECT_EQ(all.pool().configuration().text, "five");
}

TEST(pool_state, late_doubled_and_reborn_announcements)
{
    replicated all;
    auto leaving = member("m1", 9);
    leaving.leaving = true;
    all.apply(report_member{member("m1", 4)});
    all.apply(report_member{leaving});
    EXPECT_FALSE(all.pool().is_update(member("m1", 5))) << "a late one";
    EXPECT_FALSE(all.pool().is_update(member("m1", 12))) << "it does not come back";
    EXPECT_TRUE(all.pool().is_update(member("m1", 1, 200))) << "another run";
    all.apply(report_member{member("m1", 1, 200)});
    EXPECT_FALSE(all.pool().is_update(leaving)) << "of the run before";
    EXPECT_FALSE(all.pool().member(member_id("m1"))->leaving);
}

TEST(pool_state, a_removed_run_does_not_return)
{
    replicated all;
    all.apply(report_member{member("m1", 4)});
    all.apply(remove_member{{.id = member_id("m1"), .started_ms = 100}});
    all.apply(report_member{member("m1", 5)});
    EXPECT_EQ(all.pool().member(member_id("m1")), nullptr);
    all.apply(report_member{member("m1", 1, 200)});
    EXPECT_NE(all.pool().member(member_id("m1")), nullptr);
}

TEST(pool_state, an_address_belongs_to_the_member_that_started_last)
{
    replicated all;
    all.apply(report_member{member("m1", 4)});
    auto newer = member("m2", 1, 300);
    newer.endpoint = "10.0.0.1:80";
    all.apply(report_member{newer});
    EXPECT_EQ(all.pool().member(member_id("m1")), nullptr);
    EXPECT_FALSE(all.pool().is_update(member("m1", 5)));
}

TEST(pool_state, a_claim_counts_only_without_a_primary_or_for_the_target)
{
    replicated all;
    all.apply(report_member{primary("m1", 1)});
    all.apply(report_member{member("m2", 1)});
    all.apply(report_member{primary("m2", 2)});
    EXPECT_EQ(all.service().primary, member_id("m1"));
    all.apply(begin_promotion{.service = service_name("s")});
    auto token = control_index(all.index);
    all.apply(choose_target{
        .service = service_name("s"), .fencing_token = token, .target = member_id("m2")});
    auto again = member("m2", 3);
    all.apply(report_member{again});
    all.apply(report_member{primary("m2", 4)});
    EXPECT_EQ(all.service().primary, member_id("m2"));
    EXPECT_FALSE(all.service().pending);
    EXPECT_EQ(all.service().primary_changes, 2U);
}

TEST(pool_state, an_outcome_of_an_earlier_token_is_ignored)
{
    replicated all;
    all.apply(report_member{primary("m1", 1)});
    all.apply(begin_promotion{.service = service_name("s")});
    auto early = control_index(all.index);
    all.apply(begin_promotion{.service = service_name("s")});
    all.apply(confirm_primary{.service = service_name("s"),
                              .fencing_token = early,
                              .primary = member_id("m2")});
    EXPECT_EQ(all.service().primary, member_id("m1"));
    EXPECT_TRUE(all.service().pending);
}

TEST(pool_state, commands_and_snapshot_survive_their_json_form)
{
    replicated all;
    std::vector<command> commands{
        publish_configuration{{.version = config_version(5), .text = "{\"a\":1}"}},
        register_keeper{{.id = keeper_id("k1"), .rpc = "10.0.0.9:70"}},
        report_member{primary("m1", 1)},
        report_member{member("m2", 3)},
        begin_promotion{.service = service_name("s"), .reason = "lost"},
        choose_target{.service = service_name("s"),
                      .fencing_token = control_index(5),
                      .target = member_id("m2")},
        remove_member{{.id = member_id("m1"), .started_ms = 100}},
        read_barrier{},
    };
    replicated other;
    for (const auto& change : commands) {
        all.apply(change);
        auto copied = command_from(to_value(change));
        ASSERT_TRUE(copied);
        other.apply(copied.value());
    }
    EXPECT_EQ(all.state.snapshot(), other.state.snapshot());
    auto restored = control_state::from_snapshot(all.state.snapshot());
    ASSERT_TRUE(restored);
    EXPECT_EQ(restored.value().snapshot(), all.state.snapshot());
    EXPECT_EQ(restored.value().pool().services().at(service_name("s")).pending->target,
              member_id("m2"));
}

} // namespace papayabridge

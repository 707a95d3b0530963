#include "keeper_group_test.hpp"

namespace papayabridge {

namespace {

// Keepers that are far from each other, with timeouts to match.
class patient_keeper_group_test : public keeper_group_test
{
protected:
    patient_keeper_group_test() : keeper_group_test(std::chrono::seconds(1)) {}
};

} // namespace

TEST_F(patient_keeper_group_test, keepers_are_current_between_rare_heartbeats)
{
    start();
    for (int look = 0; look < 25; ++look) {
        run_for(std::chrono::milliseconds(100));
        for (const auto& one : keepers) {
            EXPECT_TRUE(one->keeper.is_current());
        }
    }
}

// The leader is heard all the while, so the watchers of this keeper would stay at an old
// configuration for as long as the write takes.
TEST_F(keeper_group_test, a_keeper_whose_write_stalls_sends_its_watchers_elsewhere)
{
    start();
    auto& stalled = *followers().front();
    ASSERT_TRUE(propose_configuration(leader(), 0));
    run_until([&] { return version_at(stalled) == config_version(1); });
    ASSERT_TRUE(watch(stalled).value().is_current);

    stalled.files.set(troubled_files::state::stalled);
    ASSERT_TRUE(propose_configuration(leader(), 1));
    run_for(std::chrono::milliseconds(1500));
    EXPECT_TRUE(stalled.keeper.leader_known());
    EXPECT_EQ(version_at(stalled), config_version(1));
    EXPECT_FALSE(watch(stalled).value().is_current);
    EXPECT_TRUE(watch(leader()).value().is_current);

    stalled.files.set(troubled_files::state::good);
    run_until([&] { return version_at(stalled) == config_version(2); });
    run_until([&] { return stalled.keeper.is_current(); });
    EXPECT_TRUE(watch(stalled).value().is_current);
}

// A watch that waits for news at such a keeper must not wait to its end.
TEST_F(keeper_group_test, a_waiting_watcher_is_told_when_its_keeper_falls_behind)
{
    start();
    auto& stalled = *followers().front();
    run_until([&] { return stalled.keeper.is_current(); });
    stalled.files.set(troubled_files::state::stalled);
    auto applied = stalled.keeper.applied().state().applied_index();
    keeper_client client(context.get_executor(),
                         std::make_shared<rpc_clients>(context.get_executor(),
                                                       std::make_shared<link_table>(),
                                                       token_codec("k")),
                         {stalled.settings().rpc});
    std::optional<result<watch_update>> update;
    auto asked_at = steady_clock::now();
    net::co_spawn(
        context, keep_result(client.watch(applied, std::chrono::seconds(20), {}), update),
        net::detached);
    ASSERT_TRUE(propose_configuration(leader(), 0));
    run_until([&] { return update.has_value(); });
    ASSERT_TRUE(*update);
    EXPECT_FALSE(update->value().is_current);
    EXPECT_LT(steady_clock::now() - asked_at, std::chrono::seconds(10));
}

// Entries that started before the keepers had a leader got the whole state at each retry,
// which they could not use yet. At 300 entries the links were full of it.
TEST_F(keeper_group_test, unconfirmed_state_is_sent_only_to_those_who_take_it)
{
    start();
    auto& stalled = *followers().front();
    ASSERT_TRUE(propose_configuration(leader(), 0));
    watch_options only_confirmed{.confirm = true, .only_confirmed = true};
    auto confirmed = watch(leader(), only_confirmed);
    ASSERT_TRUE(confirmed);
    EXPECT_TRUE(confirmed.value().is_up_to_date);
    EXPECT_TRUE(confirmed.value().snapshot || !confirmed.value().commands.empty());

    stalled.files.set(troubled_files::state::stalled);
    ASSERT_TRUE(propose_configuration(leader(), 1));
    auto refused = watch(stalled, only_confirmed);
    ASSERT_TRUE(refused);
    EXPECT_FALSE(refused.value().is_up_to_date);
    EXPECT_FALSE(refused.value().snapshot);
    EXPECT_TRUE(refused.value().commands.empty());
    auto any = watch(stalled, {.confirm = true});
    ASSERT_TRUE(any);
    EXPECT_TRUE(any.value().snapshot || !any.value().commands.empty());
}

// An entry that asks its nearest keeper for its status must not be drawn back to it.
TEST_F(keeper_group_test, the_status_of_a_keeper_tells_that_it_is_behind)
{
    start();
    auto& stalled = *followers().front();
    EXPECT_TRUE(stalled.keeper.status().is_current);
    stalled.files.set(troubled_files::state::stalled);
    ASSERT_TRUE(propose_configuration(leader(), 0));
    run_for(std::chrono::milliseconds(1500));
    auto status = keeper_status_from(to_value(stalled.keeper.status())).value();
    EXPECT_FALSE(status.is_current);
    EXPECT_FALSE(status.alarms.empty());
}

// Of three keepers one loss is borne. A full disk that has room again is no loss.
TEST_F(keeper_group_test, a_keeper_whose_disk_was_full_for_a_while_replaces_a_lost_one)
{
    start();
    ASSERT_TRUE(propose_configuration(leader(), 0));
    auto& full = *followers().front();
    auto& lost = *followers().back();
    full.files.set(troubled_files::state::full);
    for (std::uint64_t base = 1; base < 4; ++base) {
        ASSERT_TRUE(propose_configuration(leader(), base));
    }
    run_until([&] { return full.keeper.status().storage != "ok"; });
    EXPECT_FALSE(watch(full).value().is_current);
    EXPECT_LT(version_at(full), config_version(4));

    full.files.set(troubled_files::state::good);
    run_until([&] { return version_at(full) == config_version(4); });
    EXPECT_TRUE(watch(full).value().is_current);
    lost.files.set(troubled_files::state::stalled);
    EXPECT_TRUE(propose_configuration(leader(), 4));
    run_until([&] { return version_at(full) == config_version(5); });
}

// While its disk is full, a keeper passes changes on, so that its callers are served.
TEST_F(keeper_group_test, a_keeper_with_a_full_disk_passes_changes_on_to_the_leader)
{
    start();
    auto& full = *followers().front();
    full.files.set(troubled_files::state::full);
    for (std::uint64_t base = 0; base < 3; ++base) {
        EXPECT_TRUE(propose_configuration(full, base));
    }
    EXPECT_EQ(version_at(leader()), config_version(3));
    EXPECT_EQ(version_at(full), config_version(0));
}

TEST_F(keeper_group_test, a_leader_whose_disk_is_full_is_replaced_and_follows_later)
{
    start();
    ASSERT_TRUE(propose_configuration(leader(), 0));
    auto& full = leader();
    full.files.set(troubled_files::state::full);
    auto& other = *followers().front();
    ASSERT_TRUE(propose_configuration(other, 1));
    EXPECT_FALSE(full.keeper.duties().is_leading());
    full.files.set(troubled_files::state::good);
    run_until([&] { return version_at(full) == config_version(2); });
    EXPECT_TRUE(watch(full).value().is_current);
}

// One report whose bytes were no text stopped every later change: the followers could not
// read the leader's messages any more.
TEST_F(keeper_group_test, changes_are_accepted_after_a_command_that_cannot_be_read)
{
    start();
    ASSERT_TRUE(propose_configuration(leader(), 0));
    for (auto& keeper : keepers) {
        pooled_member odd{.run = {.id = member_id("i-other"), .started_ms = 1},
                          .service = service_name("s"),
                          .endpoint = "127.0.0.1:9",
                          .domain = domain_name("a\xED\xB2\x80"),
                          .sequence = 1};
        EXPECT_FALSE(propose(*keeper, report_member{.member = odd}));
        odd.domain = domain_name("a");
        odd.run.id = member_id("i-\xFF");
        EXPECT_FALSE(propose(*keeper, report_member{.member = odd}));
    }
    ASSERT_TRUE(propose_configuration(leader(), 1));
    auto version = config_version(2);
    run_until([&] {
        return std::all_of(keepers.begin(), keepers.end(), [&](const auto& keeper) {
            return version_at(*keeper) == version;
        });
    });
}

// Four seconds after such a fault the keepers have to act within their usual times again.
TEST_F(keeper_group_test, changes_are_accepted_soon_after_open_connections_went_silent)
{
    start();
    ASSERT_TRUE(propose_configuration(leader(), 0));
    silence_open_connections();
    auto silent_at = steady_clock::now();
    bool accepted = false;
    while (!accepted && steady_clock::now() < silent_at + std::chrono::seconds(20)) {
        accepted = bool(propose_configuration(*keepers.front(), 1));
    }
    EXPECT_TRUE(accepted);
    EXPECT_LT(steady_clock::now() - silent_at, std::chrono::seconds(4));
}

} // namespace papayabridge

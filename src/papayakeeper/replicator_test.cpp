#include "lone_keeper_test.hpp"
#include "store/record.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

class replicator_test : public ::testing::Test
{
protected:
    replicator_test()
    {
        std::string name = ::testing::TempDir() + "replicator_XXXXXX";
        folder = ::mkdtemp(name.data());
    }
    ~replicator_test() override { std::filesystem::remove_all(folder); }

    // Index of the last entry in the log file.
    std::uint64_t read_last_index() const
    {
        std::ifstream file(folder + "/log", std::ios::binary);
        std::string bytes{std::istreambuf_iterator<char>(file), {}};
        std::uint64_t last = 0;
        for (const auto& text : decode_records(bytes).payloads) {
            for (const auto& entry : parse_json(text).value()["entries"]) {
                last = number_of(entry, "index");
            }
        }
        return last;
    }

    std::string folder;
};

} // namespace

TEST_F(replicator_test, accepted_commands_survive_restart)
{
    constexpr std::uint64_t changes = 25;
    {
        lone_keeper alone(folder);
        alone.start();
        for (std::uint64_t base = 0; base < changes; ++base) {
            auto accepted = alone.propose_configuration(base);
            ASSERT_TRUE(accepted);
            EXPECT_EQ(accepted.value().outcome.version, config_version(base + 1));
        }
    }
    lone_keeper alone(folder);
    alone.start();
    ASSERT_TRUE(alone.propose_configuration(changes));
    EXPECT_EQ(alone.keeper.applied().state().configuration().version,
              config_version(changes + 1));
}

TEST_F(replicator_test, failed_storage_acknowledges_nothing_until_it_takes_the_write)
{
    for (bool fail_sync : {false, true}) {
        lone_keeper alone(folder);
        alone.start();
        auto version = alone.keeper.applied().state().configuration().version.value();
        ASSERT_TRUE(alone.propose_configuration(version));
        alone.files.disk_full = !fail_sync;
        alone.files.sync_fails = fail_sync;
        auto refused = alone.propose_configuration(version + 1);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, error_kind::outcome_unknown);
        EXPECT_FALSE(alone.keeper.leader_known());
        EXPECT_EQ(alone.keeper.status().storage.find("storage_failed"), 0U);
        EXPECT_FALSE(alone.keeper.status().alarms.empty());
        auto later = alone.propose_configuration(version + 2);
        ASSERT_FALSE(later);
        EXPECT_EQ(later.error().kind, error_kind::storage_failed);
        EXPECT_EQ(alone.keeper.applied().state().configuration().version,
                  config_version(version + 1));
        alone.files.disk_full = false;
        alone.files.sync_fails = false;
        alone.run_until([&] { return alone.keeper.is_current(); });
        EXPECT_EQ(alone.keeper.status().storage, "ok");
        // The change without an answer may be in force now; sent again, it is accepted.
        auto again = alone.propose_configuration(version + 1);
        ASSERT_TRUE(again);
        EXPECT_TRUE(again.value().outcome.accepted);
        EXPECT_EQ(alone.keeper.applied().state().configuration().version,
                  config_version(version + 2));
    }
    lone_keeper alone(folder);
    alone.start();
    EXPECT_EQ(alone.keeper.applied().state().configuration().version, config_version(4));
}

TEST_F(replicator_test, a_keeper_whose_first_writes_fail_joins_once_the_disk_takes_them)
{
    lone_keeper alone(folder);
    alone.files.disk_full = true;
    alone.start();
    EXPECT_FALSE(alone.keeper.genesis());
    EXPECT_FALSE(alone.propose_configuration(0));
    alone.files.disk_full = false;
    alone.run_until([&] { return alone.keeper.is_current(); });
    EXPECT_TRUE(alone.keeper.genesis());
    EXPECT_TRUE(alone.propose_configuration(0));
}

TEST_F(replicator_test, the_address_of_a_keeper_that_was_replaced_is_given_up)
{
    lone_keeper alone(folder);
    alone.start();
    const keeper_id replaced("k0");
    command registration =
        register_keeper{.keeper = {.id = replaced, .rpc = "127.0.0.1:9"}};
    ASSERT_TRUE(alone.propose_and_wait(registration));
    auto is_registered = [&] {
        return alone.keeper.applied().state().pool().keepers().count(replaced) != 0;
    };
    EXPECT_TRUE(is_registered());
    auto end = steady_clock::now() + std::chrono::seconds(30);
    while (is_registered() && steady_clock::now() < end) {
        alone.context.run_one_for(std::chrono::milliseconds(5));
        alone.context.restart();
    }
    EXPECT_FALSE(is_registered());
    auto peers = alone.keeper.status().peers;
    EXPECT_TRUE(std::none_of(peers.begin(), peers.end(),
                             [&](const auto& peer) { return peer.id == replaced; }));
}

// Such a record was written before it was refused; the keeper stayed out of its group
// after each restart.
TEST_F(replicator_test, log_with_a_record_that_is_no_text_is_read)
{
    {
        lone_keeper alone(folder);
        alone.start();
        ASSERT_TRUE(alone.propose_configuration(0));
    }
    auto last = read_last_index();
    Json::Value entry;
    entry["index"] = Json::UInt64(last + 1);
    entry["term"] = 1;
    pooled_member odd{.run = {.id = member_id("i-other"), .started_ms = 1},
                      .service = service_name("s"),
                      .endpoint = "127.0.0.1:9",
                      .domain = domain_name("a\x80"),
                      .sequence = 1};
    entry["command"] = to_json(to_value(command(report_member{.member = odd})));
    Json::Value record;
    record["entries"].append(entry);
    {
        std::ofstream log(folder + "/log", std::ios::app | std::ios::binary);
        log << encode_record(to_json(record));
    }
    lone_keeper alone(folder);
    alone.start();
    EXPECT_FALSE(alone.has_storage_failure());
    ASSERT_TRUE(alone.propose_configuration(1));
    const auto* member = alone.keeper.applied().state().pool().member(odd.run.id);
    ASSERT_NE(member, nullptr);
    EXPECT_TRUE(is_utf8(member->domain.str()));
    for (std::uint64_t base = 2; base < 20; ++base) {
        ASSERT_TRUE(alone.propose_configuration(base));
    }
}

TEST_F(replicator_test, damaged_log_keeps_keeper_out_of_group)
{
    {
        lone_keeper alone(folder);
        alone.start();
        ASSERT_TRUE(alone.propose_configuration(0));
    }
    {
        std::fstream log(folder + "/log", std::ios::in | std::ios::out);
        log.seekp(30);
        log.put('#');
    }
    lone_keeper alone(folder);
    alone.start();
    EXPECT_TRUE(alone.has_storage_failure());
    EXPECT_FALSE(alone.keeper.leader_known());
    EXPECT_FALSE(alone.propose_configuration(1));
}

} // namespace papayabridge

#include "lone_keeper_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

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

TEST_F(replicator_test, failed_storage_acknowledges_nothing)
{
    for (bool fail_sync : {false, true}) {
        lone_keeper alone(folder);
        alone.start();
        auto version = alone.keeper.applied().state().configuration().version.value();
        ASSERT_TRUE(alone.propose_configuration(version));
        alone.files.disk_full = !fail_sync;
        alone.files.sync_fails = fail_sync;
        EXPECT_FALSE(alone.propose_configuration(version + 1));
        EXPECT_FALSE(alone.keeper.leader_known());
        EXPECT_EQ(alone.keeper.status().storage.find("storage_failed"), 0U);
        EXPECT_FALSE(alone.keeper.status().alarms.empty());
        alone.files.disk_full = false;
        alone.files.sync_fails = false;
        auto later = alone.propose_configuration(version + 1);
        ASSERT_FALSE(later);
        EXPECT_EQ(later.error().kind, error_kind::storage_failed);
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

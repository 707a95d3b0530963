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

TEST_F(replicator_test, what_was_accepted_is_there_after_a_restart)
{
    constexpr std::uint64_t changes = 25;
    {
        lone_keeper alone(folder);
        alone.start();
        for (std::uint64_t base = 0; base < changes; ++base) {
            auto accepted = alone.configure(base);
            ASSERT_TRUE(accepted);
            EXPECT_EQ(accepted.value().outcome.version, config_version(base + 1));
        }
    }
    lone_keeper alone(folder);
    alone.start();
    ASSERT_TRUE(alone.configure(changes));
    EXPECT_EQ(alone.keeper.applied().state().configuration().version,
              config_version(changes + 1));
}

TEST_F(replicator_test, a_keeper_that_cannot_store_acknowledges_nothing)
{
    for (bool fails_sync : {false, true}) {
        lone_keeper alone(folder);
        alone.start();
        auto version = alone.keeper.applied().state().configuration().version.value();
        ASSERT_TRUE(alone.configure(version));
        alone.files.full = !fails_sync;
        alone.files.broken = fails_sync;
        EXPECT_FALSE(alone.configure(version + 1));
        EXPECT_FALSE(alone.keeper.leader_known());
        EXPECT_EQ(alone.keeper.status().storage.find("storage_failed"), 0U);
        EXPECT_FALSE(alone.keeper.status().alarms.empty());
        alone.files.full = false;
        alone.files.broken = false;
        auto later = alone.configure(version + 1);
        ASSERT_FALSE(later);
        EXPECT_EQ(later.error().kind, error_kind::storage_failed);
    }
}

TEST_F(replicator_test, a_keeper_with_a_damaged_log_takes_no_part)
{
    {
        lone_keeper alone(folder);
        alone.start();
        ASSERT_TRUE(alone.configure(0));
    }
    {
        std::fstream log(folder + "/log", std::ios::in | std::ios::out);
        log.seekp(30);
        log.put('#');
    }
    lone_keeper alone(folder);
    alone.start();
    EXPECT_TRUE(alone.is_broken());
    EXPECT_FALSE(alone.keeper.leader_known());
    EXPECT_FALSE(alone.configure(1));
}

} // namespace papayabridge

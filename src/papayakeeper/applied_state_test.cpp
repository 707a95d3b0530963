#include "applied_state.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds run_time{5};
constexpr std::chrono::seconds wait_timeout{60};

class applied_state_test : public ::testing::Test
{
protected:
    void apply_configuration(std::uint64_t index)
    {
        auto base = applied.state().configuration().version;
        applied.apply(control_index(index),
                      change_configuration{.base = base,
                                           .change = change_id(std::to_string(index))});
    }

    // Starts to wait for a command after `from`; sets `woken` at the end of the wait.
    void start_waiting(std::uint64_t from)
    {
        net::co_spawn(context, wait_and_set_woken(control_index(from)), net::detached);
        context.run_for(run_time);
    }

    net::awaitable<void> wait_and_set_woken(control_index from)
    {
        co_await applied.wait_for_command_after(from, steady_clock::now() + wait_timeout);
        woken = true;
    }

    net::io_context context;
    applied_state applied{context.get_executor()};
    bool woken = false;
};

} // namespace

TEST_F(applied_state_test, command_wakes_watcher)
{
    apply_configuration(2);
    start_waiting(2);
    EXPECT_FALSE(woken);
    apply_configuration(3);
    context.restart();
    context.run_for(run_time);
    EXPECT_TRUE(woken);
}

TEST_F(applied_state_test, entry_without_command_does_not_wake_watcher)
{
    apply_configuration(2);
    applied.advance(control_index(3));
    start_waiting(2);
    EXPECT_FALSE(woken);
    EXPECT_EQ(applied.update_after(control_index(2)).applied, control_index(2));
    EXPECT_TRUE(applied.update_after(control_index(2)).commands.empty());
    EXPECT_EQ(applied.applied(), control_index(3));
}

TEST_F(applied_state_test, update_has_commands_if_close_and_snapshot_if_far_behind)
{
    constexpr std::uint64_t commands = 300;
    for (std::uint64_t index = 1; index <= commands; ++index) {
        apply_configuration(index);
    }
    auto far_behind = applied.update_after(control_index(1));
    ASSERT_TRUE(far_behind.snapshot.has_value());
    EXPECT_EQ(far_behind.applied, control_index(commands));
    EXPECT_TRUE(far_behind.commands.empty());
    auto close_behind = applied.update_after(control_index(commands - 10));
    EXPECT_FALSE(close_behind.snapshot.has_value());
    EXPECT_EQ(close_behind.applied, control_index(commands));
    ASSERT_EQ(close_behind.commands.size(), 10U);
    EXPECT_EQ(close_behind.commands.front().index, control_index(commands - 9));
    EXPECT_EQ(close_behind.commands.back().index, close_behind.applied);
}

TEST_F(applied_state_test, update_has_snapshot_if_commands_were_discarded)
{
    apply_configuration(1);
    apply_configuration(2);
    applied_state restored(context.get_executor());
    restored.install(control_index(5), applied.state());
    EXPECT_TRUE(restored.update_after(control_index(1)).snapshot.has_value());
    EXPECT_FALSE(restored.update_after(control_index(2)).snapshot.has_value());
    EXPECT_TRUE(restored.update_after(control_index(9)).snapshot.has_value())
        << "an index that was never applied";
}

} // namespace papayabridge

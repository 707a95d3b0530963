#include "applied_state.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds brief{5};
constexpr std::chrono::seconds far{60};

class applied_state_test : public ::testing::Test
{
protected:
    void configure(std::uint64_t index)
    {
        auto base = applied.state().configuration().version;
        applied.apply(control_index(index),
                      change_configuration{.base = base,
                                           .change = change_id(std::to_string(index))});
    }

    // Begins to wait for more than `from`; `woken` tells when it ended.
    void wait_for(std::uint64_t from)
    {
        net::co_spawn(context, wait(control_index(from)), net::detached);
        context.run_for(brief);
    }

    net::awaitable<void> wait(control_index from)
    {
        co_await applied.wait_for_command_after(from, steady_clock::now() + far);
        woken = true;
    }

    net::io_context context;
    applied_state applied{context.get_executor()};
    bool woken = false;
};

} // namespace

TEST_F(applied_state_test, a_watcher_is_woken_by_a_command)
{
    configure(2);
    wait_for(2);
    EXPECT_FALSE(woken);
    configure(3);
    context.restart();
    context.run_for(brief);
    EXPECT_TRUE(woken);
}

TEST_F(applied_state_test, a_watcher_of_all_commands_waits_past_other_entries)
{
    configure(2);
    applied.advance(control_index(3));
    wait_for(2);
    EXPECT_FALSE(woken);
    EXPECT_EQ(applied.update_after(control_index(2)).applied, control_index(2));
    EXPECT_TRUE(applied.update_after(control_index(2)).commands.empty());
    EXPECT_EQ(applied.applied(), control_index(3));
}

TEST_F(applied_state_test, gives_commands_to_the_near_and_the_state_to_the_far)
{
    constexpr std::uint64_t commands = 300;
    for (std::uint64_t index = 1; index <= commands; ++index) {
        configure(index);
    }
    auto far = applied.update_after(control_index(1));
    ASSERT_TRUE(far.snapshot.has_value());
    EXPECT_EQ(far.applied, control_index(commands));
    EXPECT_TRUE(far.commands.empty());
    auto near = applied.update_after(control_index(commands - 10));
    EXPECT_FALSE(near.snapshot.has_value());
    EXPECT_EQ(near.applied, control_index(commands));
    ASSERT_EQ(near.commands.size(), 10U);
    EXPECT_EQ(near.commands.front().index, control_index(commands - 9));
    EXPECT_EQ(near.commands.back().index, near.applied);
}

TEST_F(applied_state_test, gives_a_snapshot_where_commands_are_not_kept)
{
    configure(1);
    configure(2);
    applied_state other(context.get_executor());
    other.install(control_index(5), applied.state());
    EXPECT_TRUE(other.update_after(control_index(1)).snapshot.has_value());
    EXPECT_FALSE(other.update_after(control_index(2)).snapshot.has_value());
    EXPECT_TRUE(other.update_after(control_index(9)).snapshot.has_value())
        << "a foreign index";
}

} // namespace papayabridge

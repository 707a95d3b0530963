#include "view_writer.hpp"

#include "view_file.hpp"
#include "wait_until_test.hpp"

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

control_state state_with_changes(std::uint64_t count)
{
    control_state state;
    for (std::uint64_t base = 0; base < count; ++base) {
        state.apply(control_index(base + 1),
                    change_configuration{.base = config_version(base),
                                         .change = change_id(std::to_string(base))});
    }
    return state;
}

// A folder whose disk can be made full or stalled.
class view_writer_test : public testing::Test
{
protected:
    view_writer_test()
    {
        std::string name = testing::TempDir() + "view_writer_XXXXXX";
        folder = ::mkdtemp(name.data());
    }
    ~view_writer_test() override { std::filesystem::remove_all(folder); }

    view_writer_options options()
    {
        return {.store = [this](const control_state& state) -> result<void> {
                    ++attempts;
                    while (is_stalled) {
                        std::this_thread::sleep_for(1ms);
                    }
                    if (is_full) {
                        return fail(error_kind::storage_failed, "no space");
                    }
                    return store_view(folder, state);
                },
                .retry_interval = 1ms};
    }

    std::optional<control_index> stored_index() const
    {
        auto state = load_view(folder);
        return state ? std::optional(state.value().applied_index()) : std::nullopt;
    }

    std::string folder;
    std::atomic<bool> is_full = false;
    std::atomic<bool> is_stalled = false;
    std::atomic<int> attempts = 0;
};

} // namespace

// An entry that starts without a keeper would go back to what was stored before.
TEST_F(view_writer_test, a_view_that_met_a_full_disk_is_stored_once_there_is_room)
{
    view_writer writer(options());
    writer.set_newest(state_with_changes(1));
    wait_until([&] { return stored_index() == control_index(1); });
    is_full = true;
    writer.set_newest(state_with_changes(2));
    int before = attempts;
    wait_until([&] { return attempts > before + 3; });
    EXPECT_EQ(stored_index(), control_index(1));
    is_full = false;
    wait_until([&] { return stored_index() == control_index(2); });
}

TEST_F(view_writer_test, nobody_waits_for_a_stalled_disk_and_the_newest_view_is_stored)
{
    view_writer writer(options());
    is_stalled = true;
    writer.set_newest(state_with_changes(1));
    wait_until([&] { return attempts > 0; });
    for (std::uint64_t count = 2; count <= 20; ++count) {
        writer.set_newest(state_with_changes(count));
    }
    is_stalled = false;
    wait_until([&] { return stored_index() == control_index(20); });
    EXPECT_EQ(attempts, 2);
}

TEST_F(view_writer_test, the_last_view_is_stored_before_the_writer_ends)
{
    {
        view_writer writer(options());
        writer.set_newest(state_with_changes(3));
    }
    EXPECT_EQ(stored_index(), control_index(3));
}

} // namespace papayabridge

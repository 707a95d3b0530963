/// \file lone_keeper_test.hpp
/// Test fixture: the only keeper of its group, on files that can be made to fail.

#pragma once

#include "replicator.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cerrno>
#include <gtest/gtest.h>

namespace papayabridge {

// Operating system files whose writes or syncs fail while a flag is set.
class failing_files : public posix_file_calls
{
public:
    ssize_t write(int file, std::string_view bytes) override
    {
        if (disk_full) {
            errno = ENOSPC;
            return -1;
        }
        return posix_file_calls::write(file, bytes);
    }

    int sync(int file) override
    {
        if (!sync_fails) {
            return posix_file_calls::sync(file);
        }
        errno = EIO;
        return -1;
    }

    bool disk_full = false;
    bool sync_fails = false;
};

// The only keeper of its group. Control and storage run on the same context.
class lone_keeper
{
public:
    explicit lone_keeper(const std::string& folder) : settings(make_settings(folder)) {}

    void start()
    {
        keeper.open();
        keeper.start();
        run_until([this] { return keeper.is_current() || has_storage_failure(); });
    }

    result<proposal_outcome> propose_configuration(std::uint64_t base)
    {
        return propose_and_wait(
            change_configuration{.base = config_version(base),
                                 .change = change_id("c" + std::to_string(base))});
    }

    // Proposes `change` and waits until it is applied or fails.
    result<proposal_outcome> propose_and_wait(command change)
    {
        std::optional<result<proposal_outcome>> outcome;
        net::co_spawn(context, propose(std::move(change), outcome), net::detached);
        run_until([&outcome] { return outcome.has_value(); });
        return outcome.value();
    }

    bool has_storage_failure() const { return keeper.status().storage != "ok"; }

    net::io_context context;
    failing_files files;
    keeper_settings settings;
    event_log events{"k1"};
    std::shared_ptr<rpc_clients> clients = std::make_shared<rpc_clients>(
        context.get_executor(), std::make_shared<link_table>(), token_codec("k"));
    replicator keeper{
        context.get_executor(), context.get_executor(), settings, clients, events, files};

    void run_until(const std::function<bool()>& condition)
    {
        // Checks after each handler: a test that relies on later handlers having run then
        // fails every time instead of sometimes.
        auto end = steady_clock::now() + run_timeout;
        while (!condition() && steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(5));
            context.restart();
        }
        ASSERT_TRUE(condition());
    }

private:
    static constexpr std::chrono::seconds run_timeout{10};

    static keeper_settings make_settings(const std::string& folder)
    {
        keeper_settings settings;
        settings.id = keeper_id("k1");
        settings.data = folder;
        settings.peers.push_back({.id = settings.id});
        settings.election_timeout = std::chrono::milliseconds(20);
        settings.heartbeat = std::chrono::milliseconds(5);
        settings.snapshot_interval = 10;
        // The entries of a test report nothing by themselves.
        settings.entry_timeout = std::chrono::seconds(30);
        return settings;
    }

    net::awaitable<void> propose(command change,
                                 std::optional<result<proposal_outcome>>& outcome)
    {
        auto deadline = steady_clock::now() + std::chrono::seconds(1);
        auto accepted = co_await keeper.propose(std::move(change), deadline, false);
        outcome.emplace(std::move(accepted));
    }
};

} // namespace papayabridge

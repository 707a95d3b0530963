/// \file lone_keeper_test.hpp
/// For tests: a keeper that is alone in its group, on files that can be made to fail.

#pragma once

#include "replicator.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cerrno>
#include <gtest/gtest.h>

namespace papayabridge {

// The system's files; syncs or writes fail once a test asks for it.
class failing_files : public system_files
{
public:
    ssize_t write(int file, std::string_view bytes) override
    {
        if (full) {
            errno = ENOSPC;
            return -1;
        }
        return system_files::write(file, bytes);
    }

    int sync(int file) override
    {
        if (!broken) {
            return system_files::sync(file);
        }
        errno = EIO;
        return -1;
    }

    bool full = false;
    bool broken = false;
};

// A keeper that is alone in its group; control and file work share a context here.
class lone_keeper
{
public:
    explicit lone_keeper(const std::string& folder) : settings(settings_for(folder)) {}

    void start()
    {
        keeper.open();
        keeper.start();
        run_until([this] { return keeper.leader_known() || is_broken(); });
    }

    result<proposal_outcome> configure(std::uint64_t base)
    {
        return propose_and_wait(
            change_configuration{.base = config_version(base),
                                 .change = change_id("c" + std::to_string(base))});
    }

    // Proposes \p change and waits until it is applied.
    result<proposal_outcome> propose_and_wait(command change)
    {
        std::optional<result<proposal_outcome>> outcome;
        net::co_spawn(context, propose(std::move(change), outcome), net::detached);
        run_until([&outcome] { return outcome.has_value(); });
        return outcome.value();
    }

    bool is_broken() const { return keeper.status().storage != "ok"; }

    net::io_context context;
    failing_files files;
    keeper_settings settings;
    event_log events{"k1"};
    std::shared_ptr<rpc_clients> clients = std::make_shared<rpc_clients>(
        context.get_executor(), std::make_shared<link_table>(), token_codec("k"));
    replicator keeper{
        context.get_executor(), context.get_executor(), settings, clients, events, files};

    void run_until(const std::function<bool()>& holds)
    {
        // After each handler, so that a test which relies on more than one fails always.
        auto end = steady_clock::now() + patience;
        while (!holds() && steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(5));
            context.restart();
        }
        ASSERT_TRUE(holds());
    }

private:
    static constexpr std::chrono::seconds patience{10};

    static keeper_settings settings_for(const std::string& folder)
    {
        keeper_settings settings;
        settings.id = keeper_id("k1");
        settings.data = folder;
        settings.peers.push_back({.id = settings.id});
        settings.election_timeout = std::chrono::milliseconds(20);
        settings.heartbeat = std::chrono::milliseconds(5);
        settings.snapshot_interval = 10;
        return settings;
    }

    net::awaitable<void> propose(command wanted,
                                 std::optional<result<proposal_outcome>>& outcome)
    {
        auto deadline = steady_clock::now() + std::chrono::seconds(1);
        auto accepted = co_await keeper.propose(std::move(wanted), deadline, false);
        outcome.emplace(std::move(accepted));
    }
};

} // namespace papayabridge

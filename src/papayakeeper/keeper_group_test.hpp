/// \file keeper_group_test.hpp
/// Test fixture: three keepers in one process that talk over loopback relays, each on
/// files that can be made to fail or to stall.

#pragma once

#include "keeper_service.hpp"
#include "net/relay.hpp"
#include "net/reserved_endpoint.hpp"
#include "net/run_awaitable.hpp"

#include <array>
#include <cerrno>
#include <condition_variable>
#include <filesystem>
#include <gtest/gtest.h>
#include <mutex>
#include <papayabridge/keeper_client.hpp>
#include <stdexcept>
#include <thread>

namespace papayabridge {

// Operating system files whose writes fail or wait while a state is set. Used by the
// storage thread, changed by the test.
class troubled_files : public posix_file_calls
{
public:
    enum class state
    {
        good,
        full,
        stalled
    };

    ssize_t write(int file, std::string_view bytes) override
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return state_ != state::stalled; });
        if (state_ == state::full) {
            errno = ENOSPC;
            return -1;
        }
        return posix_file_calls::write(file, bytes);
    }

    // No machine loses power in these tests, so they need not wait for the real disk.
    int sync(int) override { return 0; }
    int sync_folder(const std::string&) override { return 0; }

    void set(state next)
    {
        std::lock_guard lock(mutex_);
        state_ = next;
        changed_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    state state_ = state::good;
};

// One keeper with a storage thread of its own, reached by the others through a relay.
class group_keeper
{
public:
    group_keeper(net::io_context& control, keeper_settings settings, tcp::endpoint listen)
        : settings_(std::move(settings)),
          clients_(std::make_shared<rpc_clients>(
              control.get_executor(), std::make_shared<link_table>(), token_codec("k"))),
          keeper(control.get_executor(), storage_.get_executor(), settings_, clients_,
                 events_, files),
          server_(control.get_executor(), std::move(listen), token_codec("k")),
          service_(settings_, keeper, events_)
    {
        service_.register_methods(server_);
    }
    ~group_keeper()
    {
        files.set(troubled_files::state::good);
        storage_.stop();
        thread_.join();
    }
    group_keeper(const group_keeper&) = delete;
    group_keeper& operator=(const group_keeper&) = delete;

    void start()
    {
        ASSERT_TRUE(server_.start());
        keeper.open();
        keeper.start();
    }
    const keeper_settings& settings() const noexcept { return settings_; }

    troubled_files files;

private:
    keeper_settings settings_;
    event_log events_{settings_.id.str()};
    std::shared_ptr<rpc_clients> clients_;
    net::io_context storage_;
    net::executor_work_guard<net::io_context::executor_type> storage_work_{
        storage_.get_executor()};

public:
    replicator keeper;

private:
    rpc_server server_;
    keeper_service service_;
    std::thread thread_{[this] { storage_.run(); }};
};

class keeper_group_test : public ::testing::Test
{
protected:
    static constexpr std::size_t keeper_count = 3;

    explicit keeper_group_test(
        std::chrono::milliseconds heartbeat = std::chrono::milliseconds(80))
    {
        std::string name = ::testing::TempDir() + "keeper_group_XXXXXX";
        folder_ = ::mkdtemp(name.data());
        std::vector<keeper_address> peers;
        for (std::size_t i = 0; i < keeper_count; ++i) {
            places_.emplace_back(context);
            relays_.push_back(
                std::make_unique<relay>(context, places_.back().endpoint()));
            peers.push_back({.id = keeper_id("k" + std::to_string(i + 1)),
                             .rpc = relays_.back()->endpoint()});
        }
        for (std::size_t i = 0; i < keeper_count; ++i) {
            auto data = folder_ + "/" + peers[i].id.str();
            std::filesystem::create_directory(data);
            keeper_settings settings;
            settings.id = peers[i].id;
            settings.rpc = peers[i].rpc;
            settings.data = data;
            settings.fleet_key = "k";
            settings.peers = peers;
            settings.links = std::make_shared<link_table>();
            settings.snapshot_interval = 10;
            settings.heartbeat = heartbeat;
            settings.election_timeout = 5 * heartbeat;
            keepers[i] = std::make_unique<group_keeper>(context, std::move(settings),
                                                        places_[i].endpoint());
        }
    }
    ~keeper_group_test() override
    {
        context.stop();
        keepers = {};
        std::filesystem::remove_all(folder_);
    }

    void start()
    {
        for (auto& one : keepers) {
            one->start();
        }
        run_until([this] {
            return std::all_of(keepers.begin(), keepers.end(),
                               [](const auto& one) { return one->keeper.is_current(); });
        });
    }

    // The keeper that leads now. Throws if none does.
    group_keeper& leader()
    {
        auto leads = [](const auto& one) { return one->keeper.duties().is_leading(); };
        auto found = std::find_if(keepers.begin(), keepers.end(), leads);
        if (found == keepers.end()) {
            throw std::runtime_error("no keeper leads");
        }
        return **found;
    }

    // The followers, in order of id.
    std::vector<group_keeper*> followers()
    {
        std::vector<group_keeper*> all;
        for (auto& one : keepers) {
            if (!one->keeper.duties().is_leading()) {
                all.push_back(one.get());
            }
        }
        return all;
    }

    result<proposal_outcome> propose_configuration(group_keeper& at, std::uint64_t base)
    {
        return propose(
            at, change_configuration{.base = config_version(base),
                                     .change = change_id("c" + std::to_string(base))});
    }

    result<proposal_outcome> propose(group_keeper& at, command change)
    {
        auto deadline = steady_clock::now() + std::chrono::seconds(3);
        return run_awaitable(context,
                             at.keeper.propose(std::move(change), deadline, false));
    }

    // One watch of an entry that knows nothing yet.
    result<watch_update> watch(group_keeper& at, watch_options options = {})
    {
        keeper_client client(context.get_executor(), clients_, {at.settings().rpc});
        return run_awaitable(
            context,
            client.watch(control_index(), std::chrono::milliseconds(10), {}, options));
    }

    void silence_open_connections()
    {
        for (auto& one : relays_) {
            one->silence_open_connections();
        }
    }

    static config_version version_at(group_keeper& one)
    {
        return one.keeper.applied().state().configuration().version;
    }

    void run_for(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    void run_until(const std::function<bool()>& condition)
    {
        auto end = steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && steady_clock::now() < end) {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(5));
        }
        ASSERT_TRUE(condition());
    }

    net::io_context context;
    std::array<std::unique_ptr<group_keeper>, keeper_count> keepers;

private:
    std::string folder_;
    std::vector<reserved_endpoint> places_;
    std::vector<std::unique_ptr<relay>> relays_;
    std::shared_ptr<rpc_clients> clients_ = std::make_shared<rpc_clients>(
        context.get_executor(), std::make_shared<link_table>(), token_codec("k"));
};

} // namespace papayabridge

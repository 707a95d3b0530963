// The limits of accounts between entries that speak over loopback.

#include "session/limits/fleet_limiter.hpp"

#include "session/gate/gate_server.hpp"
#include "session/limits/limit_report.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

const token_codec fleet_key{"a key of sixteen letters"};
const account_name acme("acme");

struct no_members : member_access
{
    net::awaitable<member_outcome> run(member_request) override
    {
        co_return failed_outcome(run_stage::waiting,
                                 fail(error_kind::unreachable, "no member"));
    }
};

// An entry that limits accounts and runs no statements.
struct limiting_entry
{
    limiting_entry(net::io_context& context, const entry_id& entry) : id(entry)
    {
        limiter = std::make_unique<fleet_limiter>(fleet_limiter_options{
            .executor = context.get_executor(), .self = id, .fleet_key = fleet_key});
        server = std::make_unique<gate_server>(
            context.get_executor(), members,
            gate_server_options{.listen =
                                    tcp::endpoint(net::ip::make_address("127.0.0.1"), 0),
                                .fleet_key = fleet_key,
                                .tokens = limiter.get()});
        EXPECT_TRUE(server->start());
        endpoint = server->local_endpoint();
    }

    entry_id id;
    no_members members;
    std::unique_ptr<fleet_limiter> limiter;
    std::unique_ptr<gate_server> server;
    tcp::endpoint endpoint;
};

// Entries 0, 1 and 2, in the order in which they are home of "acme". Until the first
// limit is published there is none, so that the bucket starts full.
struct limited_fleet
{
    limited_fleet()
    {
        std::vector<entry_id> ids{entry_id("a"), entry_id("b"), entry_id("c")};
        for (const auto& id : order_homes(acme, ids, 3)) {
            entries.push_back(std::make_unique<limiting_entry>(context, id));
            view.gate_entries[id] = {.endpoint = entries.back()->endpoint};
        }
        view.entries = entries.size();
        view.configuration.version = config_version(1);
        publish();
    }

    ~limited_fleet()
    {
        for (auto& entry : entries) {
            entry->server.reset();
            entry->limiter.reset();
        }
        run_for(300ms);
    }
    limited_fleet(const limited_fleet&) = delete;
    limited_fleet& operator=(const limited_fleet&) = delete;

    void set_limit(double rate, double burst)
    {
        view.configuration.accounts[acme] = {.operations_per_second = rate,
                                             .burst = burst};
    }

    void publish_to(std::size_t entry)
    {
        entries[entry]->limiter->update(std::make_shared<pool_view>(view));
    }

    void publish()
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            publish_to(i);
        }
    }

    void run_for(std::chrono::milliseconds time)
    {
        auto end = steady_clock::now() + time;
        while (steady_clock::now() < end) {
            context.restart();
            context.run_until(std::min(end, steady_clock::now() + 50ms));
            for (auto& entry : entries) {
                if (entry->limiter) {
                    entry->limiter->check();
                }
            }
        }
    }

    net::awaitable<void> admit(std::size_t entry, std::chrono::milliseconds patience,
                               std::vector<limit_decision>& decisions)
    {
        auto decision =
            co_await entries[entry]->limiter->admit(acme, steady_clock::now() + patience);
        decisions.push_back(decision);
    }

    /// \p count operations at once.
    std::vector<limit_decision> admit_at(std::size_t entry, std::size_t count,
                                         std::chrono::milliseconds patience = 400ms)
    {
        std::vector<limit_decision> decisions;
        for (std::size_t i = 0; i < count; ++i) {
            net::co_spawn(context, admit(entry, patience, decisions), net::detached);
        }
        auto end = steady_clock::now() + 5s;
        while (decisions.size() < count && steady_clock::now() < end) {
            context.restart();
            context.run_one_for(50ms);
        }
        EXPECT_EQ(decisions.size(), count);
        return decisions;
    }

    static std::size_t admitted(const std::vector<limit_decision>& decisions)
    {
        return static_cast<std::size_t>(
            std::count_if(decisions.begin(), decisions.end(),
                          [](const auto& each) { return each.is_admitted; }));
    }

    net::io_context context;
    std::vector<std::unique_ptr<limiting_entry>> entries;
    pool_view view;
};

} // namespace

TEST(fleet_limiter, account_without_a_limit_costs_no_message)
{
    limited_fleet fleet;
    auto before = limit_counters::process().requests.value();
    EXPECT_EQ(fleet.admitted(fleet.admit_at(1, 100)), 100U);
    fleet.set_limit(0, 0);
    fleet.publish();
    EXPECT_EQ(fleet.admitted(fleet.admit_at(1, 100)), 100U);
    EXPECT_EQ(limit_counters::process().requests.value(), before);
}

// Each entry admitted the whole limit.
TEST(fleet_limiter, entries_share_the_limit)
{
    limited_fleet fleet;
    fleet.set_limit(20, 30);
    fleet.publish();
    std::size_t count = 0;
    for (std::size_t entry : {0U, 1U, 2U}) {
        count += fleet.admitted(fleet.admit_at(entry, 40));
    }
    // The burst, the bucket's allowance of 12 and what the rate adds meanwhile, without
    // the tokens that an entry asked for ahead of need.
    EXPECT_GE(count, 38U);
    EXPECT_LE(count, 52U);
}

// Each waiting operation sent a message of its own.
TEST(fleet_limiter, waiting_operations_share_a_request)
{
    limited_fleet fleet;
    fleet.set_limit(100, 100);
    fleet.publish();
    auto before = limit_counters::process().requests.value();
    EXPECT_EQ(fleet.admitted(fleet.admit_at(1, 50)), 50U);
    EXPECT_LE(limit_counters::process().requests.value() - before, 3U);
}

// Each account sent messages of its own to a home that they share.
TEST(fleet_limiter, accounts_of_one_home_share_a_request)
{
    limited_fleet fleet;
    for (int i = 0; i < 20; ++i) {
        fleet.view.configuration.accounts[account_name("account-" + std::to_string(i))] =
            {.operations_per_second = 10, .burst = 10};
    }
    fleet.publish();
    auto before = limit_counters::process().requests.value();
    std::size_t count = 0;
    auto admit = [&](account_name account) -> net::awaitable<void> {
        auto decision = co_await fleet.entries[1]->limiter->admit(
            account, steady_clock::now() + 400ms);
        count += decision.is_admitted ? 1 : 0;
    };
    for (const auto& [account, limit] : fleet.view.configuration.accounts) {
        net::co_spawn(fleet.context, admit(account), net::detached);
    }
    fleet.run_for(200ms);
    EXPECT_EQ(count, 20U);
    EXPECT_LE(limit_counters::process().requests.value() - before, 4U);
}

// After a refusal the home was asked again for each operation.
TEST(fleet_limiter, refused_account_is_admitted_at_the_told_time_and_not_asked_before)
{
    limited_fleet fleet;
    fleet.set_limit(4, 1);
    fleet.publish();
    auto decisions = fleet.admit_at(1, 20);
    ASSERT_FALSE(decisions.back().is_admitted);
    auto told = decisions.back().retry_after;
    EXPECT_GT(told, 0ms);
    EXPECT_LE(told, 260ms);
    auto before = limit_counters::process().requests.value();
    EXPECT_EQ(fleet.admitted(fleet.admit_at(1, 20)), 0U);
    EXPECT_EQ(limit_counters::process().requests.value(), before);
    fleet.run_for(told + 5ms);
    EXPECT_EQ(fleet.admitted(fleet.admit_at(1, 1)), 1U);
}

// Operations of an account were refused for as long as its home did not return.
TEST(fleet_limiter, successor_grants_after_the_home_is_lost)
{
    limited_fleet fleet;
    fleet.set_limit(200, 200);
    fleet.publish();
    EXPECT_EQ(fleet.admitted(fleet.admit_at(1, 50)), 50U);
    fleet.entries[0]->server.reset();
    fleet.run_for(1ms);
    auto without_home = fleet.admit_at(2, 5);
    EXPECT_EQ(fleet.admitted(without_home), 0U);
    EXPECT_GT(without_home.back().retry_after, 0ms);
    fleet.view.gate_entries.erase(fleet.entries[0]->id);
    fleet.publish_to(1);
    fleet.publish_to(2);
    // The successor's bucket is empty at first; tokens asked for ahead have expired.
    fleet.run_for(200ms);
    EXPECT_LE(fleet.admitted(fleet.admit_at(1, 50)), 15U);
    fleet.run_for(600ms);
    fleet.admit_at(2, 1);
    fleet.run_for(50ms);
    EXPECT_GE(fleet.admitted(fleet.admit_at(2, 5)), 1U);
    EXPECT_GE(fleet.admitted(fleet.admit_at(1, 5)), 1U);
}

// A home that accepts connections and says nothing held operations up beyond their time.
TEST(fleet_limiter, silent_home_is_not_waited_for_beyond_the_deadline)
{
    limited_fleet fleet;
    tcp::acceptor silent(fleet.context,
                         tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    fleet.view.gate_entries[fleet.entries[0]->id].endpoint = silent.local_endpoint();
    fleet.set_limit(200, 200);
    fleet.publish();
    auto started = steady_clock::now();
    auto decisions = fleet.admit_at(1, 3, 60ms);
    EXPECT_LT(steady_clock::now() - started, 140ms);
    EXPECT_EQ(fleet.admitted(decisions), 0U);
    EXPECT_GT(decisions.back().retry_after, 0ms);
    // Until the home is known to be silent, each operation waits for its own time.
    fleet.run_for(200ms);
    started = steady_clock::now();
    EXPECT_EQ(fleet.admitted(fleet.admit_at(1, 3)), 0U);
    EXPECT_LT(steady_clock::now() - started, 50ms);
}

// An entry whose view is old granted beside the home.
TEST(fleet_limiter, entry_grants_only_what_its_own_view_makes_it_the_home_of)
{
    limited_fleet fleet;
    fleet.set_limit(200, 200);
    fleet.publish();
    fleet.view.gate_entries.erase(fleet.entries[0]->id);
    fleet.publish_to(2);
    EXPECT_EQ(fleet.admitted(fleet.admit_at(2, 5)), 0U);
    fleet.publish_to(1);
    fleet.run_for(700ms);
    // The first operation only finds out that the home answers now.
    fleet.admit_at(2, 1);
    fleet.run_for(50ms);
    EXPECT_GE(fleet.admitted(fleet.admit_at(2, 5)), 1U);
}

// After all power was lost, callers within their limits were refused for a second: each
// home refilled its buckets slowly, for fear of another home.
TEST(fleet_limiter, home_that_restarts_before_it_is_missed_refills_at_once)
{
    limited_fleet fleet;
    fleet.set_limit(100, 1);
    fleet.publish();
    auto home = fleet.entries[0]->id;
    fleet.entries[0] = std::make_unique<limiting_entry>(fleet.context, home);
    fleet.view.gate_entries[home] = {.endpoint = fleet.entries[0]->endpoint};
    fleet.publish_to(0);
    fleet.run_for(300ms);
    // 30 tokens are there by now, or 7 at a home that starts slowly; the bucket holds 13.
    auto decisions = fleet.admit_at(0, 13);
    EXPECT_GE(limited_fleet::admitted(decisions), 12U);
}

TEST(fleet_limiter, lowered_limit_holds_at_the_next_grant)
{
    limited_fleet fleet;
    fleet.set_limit(500, 500);
    fleet.publish();
    EXPECT_EQ(fleet.admitted(fleet.admit_at(1, 20)), 20U);
    fleet.set_limit(2, 2);
    fleet.publish();
    EXPECT_LE(fleet.admitted(fleet.admit_at(1, 100)), 2U + 12 + 1);
    EXPECT_LE(fleet.admitted(fleet.admit_at(2, 100)), 1U);
}

// Without addresses of entries, each of them admitted the whole limit.
TEST(fleet_limiter, entries_without_links_keep_their_part_of_the_limit)
{
    limited_fleet fleet;
    fleet.view.gate_entries.clear();
    fleet.publish();
    fleet.set_limit(30, 30);
    fleet.publish();
    for (std::size_t entry : {0U, 1U, 2U}) {
        auto count = fleet.admitted(fleet.admit_at(entry, 100));
        EXPECT_GE(count, 10U);
        EXPECT_LE(count, 10U + 12 + 2);
    }
}

} // namespace papayabridge

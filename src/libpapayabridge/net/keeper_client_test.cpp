#include "net/relay.hpp"
#include "net/reserved_endpoint.hpp"
#include "net/run_awaitable.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>
#include <papayabridge/keeper_client.hpp>
#include <thread>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

const token_codec fleet_key("fleet key of the test");

// A keeper that answers each watch with the index it holds.
class small_keeper
{
public:
    small_keeper(net::io_context& context, tcp::endpoint listen, std::uint64_t applied)
        : server_(context.get_executor(), listen, fleet_key)
    {
        server_.add_method("keeper.watch", [this, applied](rpc_message) {
            watch_update update;
            update.applied = control_index(applied);
            update.is_current = true;
            return is_silent_ ? answer_late() : answer(to_value(update));
        });
        server_.add_method("keeper.status", [](rpc_message) {
            return answer(
                to_value(keeper_status{.leader = keeper_id("k"), .is_current = true}));
        });
        EXPECT_TRUE(server_.start());
    }
    tcp::endpoint place() const { return server_.local_endpoint(); }
    void become_silent() { is_silent_ = true; }

private:
    static net::awaitable<result<rpc_message>> answer(Json::Value body)
    {
        rpc_message message;
        message.body = std::move(body);
        co_return message;
    }

    static net::awaitable<result<rpc_message>> answer_late()
    {
        net::steady_timer timer(co_await net::this_coro::executor, 60s);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        co_return fail(error_kind::unreachable, "silent");
    }

    rpc_server server_;
    bool is_silent_ = false;
};

class keeper_client_test : public testing::Test
{
protected:
    // The index that the keeper asked holds; nothing if it gave no answer.
    std::optional<std::uint64_t> watch(keeper_client& client,
                                       std::chrono::milliseconds wait = 10ms)
    {
        auto update = run_awaitable(
            context, client.watch(control_index(), wait, {.id = entry_id("e")}, {}));
        return update ? std::optional(update.value().applied.value()) : std::nullopt;
    }

    net::io_context context;
    // The address of a keeper that does not run at first.
    reserved_endpoint near_place{context};
    std::shared_ptr<rpc_clients> clients = std::make_shared<rpc_clients>(
        context.get_executor(), std::make_shared<link_table>(), fleet_key);
};

} // namespace

TEST_F(keeper_client_test, a_nearest_keeper_that_is_gone_for_good_costs_one_call)
{
    small_keeper far(context, {net::ip::make_address("127.0.0.1"), 0}, 7);
    keeper_client client(context.get_executor(), clients,
                         {near_place.endpoint(), far.place()}, 1ms);
    EXPECT_FALSE(watch(client));
    for (int call = 0; call < 20; ++call) {
        EXPECT_EQ(watch(client), 7u);
    }
}

TEST_F(keeper_client_test, the_nearest_keeper_is_used_again_once_it_answers)
{
    small_keeper far(context, {net::ip::make_address("127.0.0.1"), 0}, 7);
    keeper_client client(context.get_executor(), clients,
                         {near_place.endpoint(), far.place()}, 1ms);
    EXPECT_FALSE(watch(client));
    small_keeper near(context, near_place.endpoint(), 8);
    auto until = steady_clock::now() + 20s;
    while (watch(client) != 8u && steady_clock::now() < until) {
    }
    EXPECT_EQ(watch(client), 8u);
}

// The second keeper is lost during a watch, while the nearest is found to be usable
// again.
TEST_F(keeper_client_test, a_lost_keeper_is_not_asked_again_after_the_nearest_came_back)
{
    small_keeper far(context, {net::ip::make_address("127.0.0.1"), 0}, 7);
    keeper_client client(context.get_executor(), clients,
                         {near_place.endpoint(), far.place()}, 1ms);
    EXPECT_FALSE(watch(client));
    EXPECT_EQ(client.current_keeper(), far.place());
    far.become_silent();
    small_keeper near(context, near_place.endpoint(), 8);
    std::this_thread::sleep_for(2ms);
    // Probes the nearest at its start, and gets no answer from the other.
    EXPECT_FALSE(watch(client));
    EXPECT_EQ(client.current_keeper(), near_place.endpoint());
    EXPECT_EQ(watch(client), 8u);
}

// A keeper registers while the nearest one is lost.
TEST_F(keeper_client_test, a_new_keeper_does_not_send_the_entry_back_to_a_lost_one)
{
    small_keeper far(context, {net::ip::make_address("127.0.0.1"), 0}, 7);
    small_keeper added(context, {net::ip::make_address("127.0.0.1"), 0}, 8);
    keeper_client client(context.get_executor(), clients,
                         {near_place.endpoint(), far.place()});
    EXPECT_FALSE(watch(client));
    EXPECT_EQ(watch(client), 7u);
    client.set_keepers({near_place.endpoint(), added.place(), far.place()});
    EXPECT_EQ(watch(client), 7u);
    client.set_keepers({near_place.endpoint(), added.place()});
    EXPECT_FALSE(watch(client));
    EXPECT_EQ(watch(client), 8u);
}

TEST_F(keeper_client_test, a_nearer_keeper_that_is_added_is_used_once_it_answers)
{
    small_keeper far(context, {net::ip::make_address("127.0.0.1"), 0}, 7);
    keeper_client client(context.get_executor(), clients, {far.place()});
    EXPECT_EQ(watch(client), 7u);
    small_keeper near(context, near_place.endpoint(), 8);
    client.set_keepers({near_place.endpoint(), far.place()});
    auto until = steady_clock::now() + 20s;
    while (watch(client) != 8u && steady_clock::now() < until) {
    }
    EXPECT_EQ(watch(client), 8u);
}

// A configuration has to be in force three seconds after its confirmation.
TEST_F(keeper_client_test, changes_arrive_in_time_after_all_open_connections_went_silent)
{
    std::vector<std::unique_ptr<small_keeper>> keepers;
    std::vector<std::unique_ptr<relay>> relays;
    std::vector<tcp::endpoint> places;
    for (std::uint64_t applied : {7, 7, 7}) {
        keepers.push_back(std::make_unique<small_keeper>(
            context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0), applied));
        relays.push_back(std::make_unique<relay>(context, keepers.back()->place()));
        places.push_back(relays.back()->endpoint());
    }
    keeper_client client(context.get_executor(), clients, places);
    for (const auto& place : places) {
        ASSERT_TRUE(run_awaitable(context, client.status(place)));
    }
    ASSERT_EQ(watch(client, 1s), 7u);
    for (auto& one : relays) {
        one->silence_open_connections();
    }
    auto silent_at = steady_clock::now();
    std::optional<std::uint64_t> heard;
    while (!heard && steady_clock::now() < silent_at + 20s) {
        heard = watch(client, 1s);
    }
    EXPECT_EQ(heard, 7u);
    EXPECT_LT(steady_clock::now() - silent_at, 3s);
}

} // namespace papayabridge

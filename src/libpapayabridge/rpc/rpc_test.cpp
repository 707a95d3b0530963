#include "rpc/frame.hpp"

#include "net/raw_peer.hpp"
#include "net/relay.hpp"
#include "net/run_awaitable.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/rpc.hpp>
#include <rapidcheck/gtest.h>
#include <thread>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

const token_codec fleet_key("fleet key of the test");

tcp::endpoint loopback(unsigned short port = 0)
{
    return {net::ip::make_address("127.0.0.1"), port};
}

// Client and server on one context. The method "echo" returns its message, "wait" returns
// it after "ms" milliseconds, "fail" fails with the error kind in "kind", and "throw"
// throws unless there is a payload.
class rpc_test : public testing::Test
{
protected:
    ~rpc_test() override
    {
        client_.reset();
        server_.reset();
        context_.restart();
        context_.poll();
    }

    void start(tcp::endpoint listen = loopback())
    {
        server_.emplace(context_.get_executor(), listen, fleet_key);
        server_->add_method("echo", echo);
        server_->add_method("wait", wait);
        server_->add_method("fail", fail_with_requested_kind);
        server_->add_method("throw", throw_without_payload);
        ASSERT_TRUE(server_->start());
    }

    void connect(token_codec key = fleet_key)
    {
        client_.emplace(context_.get_executor(), links_, server_->local_endpoint(),
                        std::move(key));
    }

    result<rpc_message> call(std::string method, Json::Value body = Json::objectValue,
                             std::string payload = {},
                             std::chrono::milliseconds wait = 20s)
    {
        rpc_message message;
        message.body = std::move(body);
        message.payload = std::move(payload);
        auto deadline = steady_clock::now() + wait;
        return run_awaitable(
            context_, client_->call(std::move(method), std::move(message), deadline));
    }

    static net::awaitable<result<rpc_message>> echo(rpc_message message)
    {
        co_return message;
    }

    static net::awaitable<result<rpc_message>> wait(rpc_message message)
    {
        net::steady_timer timer(co_await net::this_coro::executor);
        timer.expires_after(std::chrono::milliseconds(message.body["ms"].asInt()));
        co_await timer.async_wait(net::use_awaitable);
        co_return message;
    }

    static net::awaitable<result<rpc_message>>
    fail_with_requested_kind(rpc_message message)
    {
        auto kind = error_kind_of(message.body["kind"].asString());
        co_return fail(kind, "requested: by the test");
    }

    static net::awaitable<result<rpc_message>> throw_without_payload(rpc_message message)
    {
        if (message.payload.empty()) {
            throw std::runtime_error("broken handler");
        }
        co_return message;
    }

    net::io_context context_{1};
    std::shared_ptr<link_table> links_ = std::make_shared<link_table>();
    std::optional<rpc_server> server_;
    std::optional<rpc_client> client_;
};

Json::Value wait_body(int ms)
{
    Json::Value body;
    body["ms"] = ms;
    return body;
}

net::awaitable<bool> wait_for(net::steady_timer& timer)
{
    co_await timer.async_wait(net::use_awaitable);
    co_return true;
}

net::awaitable<void> call_wait_method(rpc_client& client, int ms, std::vector<int>& order)
{
    rpc_message message;
    message.body = wait_body(ms);
    auto deadline = steady_clock::now() + 20s;
    auto answer = co_await client.call("wait", std::move(message), deadline);
    order.push_back(answer ? answer.value().body["ms"].asInt() : -1);
}

} // namespace

TEST_F(rpc_test, body_and_payload_round_trip)
{
    start();
    connect();
    Json::Value body;
    body["text"] = "\xC3\xA9 \" \\ \n";
    body["list"].append(1);
    std::string payload(3 * 1024 * 1024, '\xFF');
    auto answer = call("echo", body, payload);
    ASSERT_TRUE(answer) << answer.error().str();
    EXPECT_EQ(answer.value().body, body);
    EXPECT_EQ(answer.value().payload, payload);
}

TEST_F(rpc_test, concurrent_calls_complete_out_of_order)
{
    start();
    connect();
    std::vector<int> order;
    for (int ms : {150, 5, 80}) {
        net::co_spawn(context_, call_wait_method(*client_, ms, order), net::detached);
    }
    while (order.size() < 3 && context_.run_one() > 0) {
    }
    EXPECT_EQ(order, (std::vector<int>{5, 80, 150}));
}

TEST_F(rpc_test, every_error_kind_round_trips)
{
    start();
    connect();
    for (const auto& row : error_answers()) {
        Json::Value body;
        body["kind"] = std::string(row.name);
        auto answer = call("fail", body);
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.error().kind, row.kind) << row.name;
        EXPECT_EQ(answer.error().detail, "requested: by the test");
    }
}

TEST_F(rpc_test, unknown_methods_and_throwing_handlers_return_errors)
{
    start();
    connect();
    EXPECT_EQ(call("absent").error().kind, error_kind::bad_request);
    EXPECT_EQ(call("throw").error().kind, error_kind::internal);
    EXPECT_TRUE(call("echo"));
}

TEST_F(rpc_test, a_call_ends_at_its_deadline_and_its_late_response_is_dropped)
{
    start();
    connect();
    auto expired = call("wait", wait_body(200), {}, 30ms);
    ASSERT_FALSE(expired);
    EXPECT_EQ(expired.error().kind, error_kind::outcome_unknown);
    auto next = call("wait", wait_body(300));
    ASSERT_TRUE(next);
    EXPECT_EQ(next.value().body["ms"].asInt(), 300);
}

TEST_F(rpc_test, a_client_with_another_fleet_key_is_refused)
{
    start();
    connect(token_codec("another key"));
    auto answer = call("echo", Json::objectValue, {}, 5s);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, error_kind::unreachable);
}

TEST_F(rpc_test, a_stopped_server_is_unreachable)
{
    start();
    connect();
    server_->stop();
    auto answer = call("echo", Json::objectValue, {}, 5s);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, error_kind::unreachable);
}

TEST_F(rpc_test, a_peer_that_sends_no_challenge_delays_no_call_past_its_deadline)
{
    tcp::acceptor silent_server(context_, loopback());
    rpc_client client(context_.get_executor(), links_, silent_server.local_endpoint(),
                      fleet_key);
    auto start_time = steady_clock::now();
    auto answer = run_awaitable(context_, client.call("echo", {}, start_time + 100ms));
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, error_kind::unreachable);
    auto retried = run_awaitable(context_, client.call("echo", {}, start_time + 20s));
    ASSERT_FALSE(retried);
    EXPECT_EQ(retried.error().kind, error_kind::unreachable);
    EXPECT_LT(steady_clock::now() - start_time, 15s);
}

TEST_F(rpc_test, reconnects_after_a_server_restart)
{
    start();
    connect();
    EXPECT_TRUE(call("echo"));
    auto address = server_->local_endpoint();
    server_.reset();
    EXPECT_FALSE(call("echo", Json::objectValue, {}, 5s));
    start(address);
    EXPECT_TRUE(call("echo"));
}

TEST_F(rpc_test, a_connection_that_went_silent_is_not_used_for_the_next_call)
{
    start();
    relay between(context_, server_->local_endpoint());
    client_.emplace(context_.get_executor(), links_, between.endpoint(), fleet_key);
    ASSERT_TRUE(call("echo"));
    between.silence_open_connections();
    auto unanswered = call("echo", Json::objectValue, {}, 1700ms);
    ASSERT_FALSE(unanswered);
    EXPECT_EQ(unanswered.error().kind, error_kind::outcome_unknown);
    EXPECT_TRUE(call("echo", Json::objectValue, {}, 1s));
    EXPECT_EQ(between.accepted(), 2U);
}

// A keeper may take long over one call; others must not end it.
TEST_F(rpc_test, a_call_that_waits_on_a_silent_connection_is_still_answered)
{
    start();
    relay between(context_, server_->local_endpoint());
    client_.emplace(context_.get_executor(), links_, between.endpoint(), fleet_key);
    ASSERT_TRUE(call("echo"));
    std::vector<int> order;
    net::co_spawn(context_, call_wait_method(*client_, 2500, order), net::detached);
    net::steady_timer timer(context_, 2s);
    run_awaitable(context_, wait_for(timer));
    EXPECT_TRUE(call("echo", Json::objectValue, {}, 1s));
    EXPECT_EQ(between.accepted(), 2U);
    while (order.empty() && context_.run_one() > 0) {
    }
    EXPECT_EQ(order, std::vector<int>{2500});
}

// A slow link may delay answers, and have no room for a new connection.
TEST_F(rpc_test, a_quiet_connection_is_still_used_if_no_new_one_can_be_opened)
{
    start();
    relay between(context_, server_->local_endpoint());
    client_.emplace(context_.get_executor(), links_, between.endpoint(), fleet_key);
    ASSERT_TRUE(call("echo"));
    between.stop_accepting();
    net::steady_timer timer(context_, 1500ms);
    run_awaitable(context_, wait_for(timer));
    EXPECT_TRUE(call("echo", Json::objectValue, {}, 1s));
}

// Its peer is most likely gone, and the caller has others to ask.
TEST_F(rpc_test, a_connection_that_was_long_quiet_is_given_up_if_no_new_one_can_be_opened)
{
    start();
    relay between(context_, server_->local_endpoint());
    client_.emplace(context_.get_executor(), links_, between.endpoint(), fleet_key);
    ASSERT_TRUE(call("echo"));
    between.silence_open_connections();
    between.stop_accepting();
    net::steady_timer timer(context_, 3500ms);
    run_awaitable(context_, wait_for(timer));
    auto asked_at = steady_clock::now();
    auto refused = call("echo", Json::objectValue, {}, 20s);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, error_kind::unreachable);
    EXPECT_LT(steady_clock::now() - asked_at, 10s);
}

TEST_F(rpc_test, calls_in_quick_succession_share_a_connection)
{
    start();
    relay between(context_, server_->local_endpoint());
    client_.emplace(context_.get_executor(), links_, between.endpoint(), fleet_key);
    for (int ms : {0, 300, 1000, 0}) {
        EXPECT_TRUE(call("wait", wait_body(ms)));
    }
    EXPECT_EQ(between.accepted(), 1U);
}

TEST_F(rpc_test, stopping_the_server_leaves_the_outcome_of_pending_calls_unknown)
{
    start();
    connect();
    ASSERT_TRUE(call("echo"));
    net::steady_timer stop_timer(context_);
    stop_timer.expires_after(50ms);
    stop_timer.async_wait([this](boost::system::error_code) { server_.reset(); });
    auto answer = call("wait", wait_body(400));
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, error_kind::outcome_unknown);
}

TEST_F(rpc_test, destroying_a_connecting_client_fails_its_call)
{
    start();
    connect();
    std::vector<int> order;
    net::co_spawn(context_, call_wait_method(*client_, 1, order), net::detached);
    context_.poll();
    client_.reset();
    while (order.empty() && context_.run_one() > 0) {
    }
    EXPECT_EQ(order, std::vector<int>{-1});
}

TEST_F(rpc_test, link_cuts_distinguish_unsent_calls_from_unknown_outcomes)
{
    start();
    connect();
    ASSERT_TRUE(call("echo"));
    links_->set_cut({}, link_cut::send);
    EXPECT_EQ(call("echo", Json::objectValue, {}, 50ms).error().kind,
              error_kind::unreachable);
    links_->set_cut({}, link_cut::receive);
    EXPECT_EQ(call("echo", Json::objectValue, {}, 50ms).error().kind,
              error_kind::outcome_unknown);
    links_->set_cut({}, link_cut::none);
    EXPECT_TRUE(call("echo"));
}

TEST_F(rpc_test, the_server_survives_arbitrary_bytes_from_a_peer)
{
    start();
    auto holds = rc::check("any bytes in place of a proof", [this] {
        auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        raw_peer peer(server_->local_endpoint());
        context_.restart();
        context_.poll();
        peer.send(bytes);
        boost::system::error_code ignored;
        peer.socket().shutdown(tcp::socket::shutdown_send, ignored);
        for (int i = 0; i < 3; ++i) {
            context_.poll();
        }
    });
    EXPECT_TRUE(holds);
    connect();
    EXPECT_TRUE(call("echo"));
}

namespace {

// Writes `bytes` to one end of a connection and reads a frame at the other.
result<frame> read_frame_from(const std::string& bytes)
{
    net::io_context context;
    tcp::acceptor acceptor(context, loopback());
    raw_peer peer(acceptor.local_endpoint());
    tcp::socket socket(context);
    acceptor.accept(socket);
    peer.send(bytes);
    peer.socket().shutdown(tcp::socket::shutdown_send);
    return run_awaitable(context, read_frame(socket, 1024));
}

} // namespace

TEST(rpc_frame, any_frame_round_trips)
{
    auto holds = rc::check("read_frame(encode_frame(x)) is x", [] {
        frame sent;
        sent.kind = frame_kind::response;
        sent.id = *rc::gen::arbitrary<std::uint64_t>();
        sent.envelope = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        sent.payload = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        auto received = read_frame_from(encode_frame(sent));
        RC_ASSERT(received.has_value());
        RC_ASSERT(received.value().id == sent.id);
        RC_ASSERT(received.value().envelope == sent.envelope);
        RC_ASSERT(received.value().payload == sent.payload);
    });
    EXPECT_TRUE(holds);
}

TEST(rpc_frame, arbitrary_bytes_yield_a_frame_or_an_error)
{
    auto holds = rc::check("read_frame() of any bytes returns", [] {
        auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        auto received = read_frame_from(bytes);
        if (received) {
            RC_ASSERT(received.value().size() <= bytes.size());
        }
    });
    EXPECT_TRUE(holds);
}

TEST(rpc_frame, truncated_and_oversized_frames_are_errors)
{
    frame valid;
    valid.envelope = "{}";
    valid.payload = std::string(100, 'p');
    auto text = encode_frame(valid);
    for (std::size_t kept = 0; kept < text.size(); ++kept) {
        EXPECT_FALSE(read_frame_from(text.substr(0, kept))) << kept;
    }
    frame oversized;
    oversized.payload = std::string(2000, 'p');
    EXPECT_EQ(read_frame_from(encode_frame(oversized)).error().kind,
              error_kind::bad_request);
}

} // namespace papayabridge

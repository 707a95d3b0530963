#include "raw_peer.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/http.hpp>
#include <rapidcheck/gtest.h>
#include <sys/resource.h>
#include <thread>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;
using testing::StartsWith;

constexpr auto short_timeout = 200ms;

// "/echo" answers with the body, "/throw" throws, "/none" returns without an answer,
// "/wait" answers once it is released, "/short" sends less than it announced.
class sample_handler
{
public:
    net::awaitable<void> operator()(http_exchange& exchange)
    {
        auto target = std::string(exchange.request().target());
        if (target == "/throw") {
            throw std::runtime_error("broken \"handler\"");
        }
        if (target == "/none") {
            co_return;
        }
        if (target == "/wait") {
            co_await wait_for_release();
        }
        if (target == "/short") {
            auto head = make_response(200, "");
            static_cast<void>(co_await exchange.start_reply(std::move(head), 100));
            std::string_view piece = "half";
            static_cast<void>(co_await exchange.write_body(piece));
            co_return;
        }
        auto response = make_response(200, "<" + exchange.request().body() + ">");
        static_cast<void>(co_await exchange.reply(std::move(response)));
    }

    void release() { *released_ = true; }

private:
    net::awaitable<void> wait_for_release()
    {
        net::steady_timer timer(co_await net::this_coro::executor);
        while (!*released_) {
            timer.expires_after(1ms);
            co_await timer.async_wait(net::use_awaitable);
        }
    }

    std::shared_ptr<std::atomic<bool>> released_ =
        std::make_shared<std::atomic<bool>>(false);
};

class http_server_test : public testing::Test
{
protected:
    http_server_test()
    {
        options_.listen = {net::ip::make_address("127.0.0.1"), 0};
        options_.receive_timeout = 5s;
        options_.max_header_bytes = 4096;
        options_.max_body_bytes = 10000;
    }

    ~http_server_test() override
    {
        handler_.release();
        if (server_) {
            server_->stop_accepting();
        }
        guards_.clear();
        for (auto& thread : threads_) {
            thread.join();
        }
    }

    void start()
    {
        server_.emplace(accepting_, std::vector{&first_, &second_}, options_, handler_);
        ASSERT_TRUE(server_->start());
        for (auto* context : {&accepting_, &first_, &second_}) {
            guards_.push_back(net::make_work_guard(*context));
            threads_.emplace_back([context] { context->run(); });
        }
    }

    // Lifts the soft limit of open descriptors to the hard one.
    static void allow_descriptors()
    {
        rlimit limit{};
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
        limit.rlim_cur = limit.rlim_max;
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
    }

    // Whether `holds` becomes true within a bounded wait.
    template <class Condition>
    static bool eventually(Condition holds)
    {
        for (int i = 0; i < 10000; ++i) {
            if (holds()) {
                return true;
            }
            std::this_thread::sleep_for(1ms);
        }
        return false;
    }

    bool all_closed()
    {
        return eventually([this] { return server_->connections() == 0; });
    }

    // The server still answers.
    void expect_alive()
    {
        raw_peer peer(server_->local_endpoint());
        peer.send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_THAT(peer.receive_until("<ok>"), HasSubstr("<ok>"));
    }

    http_server_options options_;
    sample_handler handler_;
    net::io_context accepting_{1};
    net::io_context first_{1};
    net::io_context second_{1};
    std::optional<http_server> server_;
    std::vector<net::executor_work_guard<net::io_context::executor_type>> guards_;
    std::vector<std::thread> threads_;
};

struct bad_input
{
    const char* name;
    std::string bytes;
    // Start of the answer; empty if the connection is only closed.
    std::string answer;
};

std::vector<bad_input> bad_inputs()
{
    std::string many_headers;
    for (int i = 0; i < 500; ++i) {
        many_headers += "X-" + std::to_string(i) + ": value\r\n";
    }
    const std::string bad = "HTTP/1.1 400";
    const std::string large = "HTTP/1.1 413";
    return {
        {"binary", std::string("\x00\x01\xff\xfe\r\n\r\n", 8), bad},
        {"tls hello", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n", 13),
         bad},
        {"no version", "GET /\r\n\r\n", bad},
        {"version 9", "GET / HTTP/9.9\r\n\r\n", bad},
        {"bare line", "hello\r\n\r\n", bad},
        {"space in header name", "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n", bad},
        {"length no number", "POST /echo HTTP/1.1\r\nContent-Length: x\r\n\r\n", bad},
        {"negative length", "POST /echo HTTP/1.1\r\nContent-Length: -1\r\n\r\n", bad},
        {"two lengths",
         "POST /echo HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", bad},
        {"length and chunked",
         "POST /echo HTTP/1.1\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         bad},
        {"bad chunk size",
         "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n", bad},
        {"chunk size overflow",
         "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "fffffffffffffffff\r\nab\r\n",
         bad},
        {"long target", "GET /" + std::string(8000, 'a') + " HTTP/1.1\r\n\r\n", large},
        {"long header", "GET / HTTP/1.1\r\nX: " + std::string(8000, 'a') + "\r\n\r\n",
         large},
        {"many headers", "GET / HTTP/1.1\r\n" + many_headers + "\r\n", large},
        {"body over the limit", "POST /echo HTTP/1.1\r\nContent-Length: 20000\r\n\r\n",
         large},
        {"huge length",
         "POST /echo HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n", large},
        {"chunked over the limit",
         "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" +
             std::string(20000, 'a') + "\r\n0\r\n\r\n",
         large},
        {"endless chunk extension",
         "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
             std::string(200000, 'a'),
         "HTTP/1.1 4"},
        {"early end of stream", "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nab",
         ""},
    };
}

} // namespace

TEST_F(http_server_test, refuses_bad_input_and_goes_on)
{
    start();
    for (const auto& input : bad_inputs()) {
        raw_peer peer(server_->local_endpoint());
        peer.send(input.bytes);
        if (input.answer.empty()) {
            peer.socket().shutdown(tcp::socket::shutdown_send);
        }
        EXPECT_TRUE(peer.receive_to_end()) << input.name;
        if (input.answer.empty()) {
            EXPECT_EQ(peer.received(), "") << input.name;
        } else {
            EXPECT_THAT(peer.received(), StartsWith(input.answer)) << input.name;
            EXPECT_THAT(peer.received(), HasSubstr("\"ran\":\"no\"")) << input.name;
        }
    }
    expect_alive();
    EXPECT_TRUE(all_closed());
}

TEST_F(http_server_test, any_bytes_leave_it_serving)
{
    options_.receive_timeout = short_timeout;
    start();
    auto holds = rc::check("any bytes after any part of a request", [this] {
        auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        auto part = *rc::gen::inRange<std::size_t>(0, 60);
        std::string request = "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        raw_peer peer(server_->local_endpoint());
        peer.send(request.substr(0, part) + bytes);
        boost::system::error_code ignored;
        peer.socket().shutdown(tcp::socket::shutdown_send, ignored);
        RC_ASSERT(peer.receive_to_end());
    });
    EXPECT_TRUE(holds);
    expect_alive();
    EXPECT_TRUE(all_closed());
}

TEST_F(http_server_test, slow_senders_are_cut_off)
{
    options_.receive_timeout = short_timeout;
    start();
    const std::string head = "POST /echo HTTP/1.1\r\nContent-Length: 5000\r\n\r\n";
    raw_peer slow_head(server_->local_endpoint());
    EXPECT_FALSE(slow_head.send_slowly(head + std::string(5000, 'a'), 10ms));
    raw_peer slow_body(server_->local_endpoint());
    slow_body.send(head);
    EXPECT_FALSE(slow_body.send_slowly(std::string(5000, 'a'), 10ms));
    EXPECT_TRUE(all_closed());
    expect_alive();
}

TEST_F(http_server_test, idle_connections_are_closed_after_their_time)
{
    options_.idle_timeout = short_timeout;
    start();
    raw_peer silent(server_->local_endpoint());
    raw_peer used(server_->local_endpoint());
    used.send("GET /echo HTTP/1.1\r\n\r\n");
    used.receive_until("<>");
    EXPECT_TRUE(silent.receive_to_end());
    EXPECT_TRUE(used.receive_to_end());
    EXPECT_TRUE(all_closed());
}

TEST_F(http_server_test, a_connection_in_use_outlives_the_idle_time)
{
    options_.idle_timeout = short_timeout;
    start();
    raw_peer peer(server_->local_endpoint());
    peer.send("GET /wait HTTP/1.1\r\n\r\n");
    EXPECT_FALSE(peer.closed_within(3 * short_timeout));
    handler_.release();
    EXPECT_THAT(peer.receive_until("<>"), HasSubstr("<>"));
}

TEST_F(http_server_test, serves_past_thousands_of_idle_and_half_open_connections)
{
    constexpr std::size_t count = 3000;
    allow_descriptors();
    start();
    std::vector<std::unique_ptr<raw_peer>> peers;
    for (std::size_t i = 0; i < count; ++i) {
        peers.push_back(std::make_unique<raw_peer>(server_->local_endpoint()));
        if (i % 2 == 0) {
            peers.back()->send("POST /echo HT");
        }
    }
    expect_alive();
    EXPECT_GE(server_->connections(), count);
    peers.clear();
    EXPECT_TRUE(all_closed());
}

TEST_F(http_server_test, connections_over_the_limit_are_closed)
{
    options_.max_connections = 2;
    start();
    raw_peer first(server_->local_endpoint());
    raw_peer second(server_->local_endpoint());
    ASSERT_TRUE(eventually([this] { return server_->connections() == 2; }));
    raw_peer third(server_->local_endpoint());
    EXPECT_TRUE(third.receive_to_end());
    first.send("GET /echo HTTP/1.1\r\n\r\n");
    EXPECT_THAT(first.receive_until("<>"), HasSubstr("<>"));
}

TEST_F(http_server_test, answers_pipelined_requests_in_order)
{
    start();
    raw_peer peer(server_->local_endpoint());
    std::string requests;
    for (int i = 0; i < 20; ++i) {
        auto body = "number " + std::to_string(100 + i);
        requests += "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\n" + body;
    }
    peer.send(requests);
    peer.receive_until("<number 119>");
    std::size_t at = 0;
    for (int i = 0; i < 20; ++i) {
        at = peer.received().find("<number " + std::to_string(100 + i) + ">", at);
        ASSERT_NE(at, std::string::npos) << i;
    }
}

TEST_F(http_server_test, reads_chunked_bodies)
{
    start();
    raw_peer peer(server_->local_endpoint());
    peer.send("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n");
    EXPECT_THAT(peer.receive_until("<abcde>"), HasSubstr("<abcde>"));
}

TEST_F(http_server_test, invites_the_body_that_waits_for_it)
{
    start();
    raw_peer peer(server_->local_endpoint());
    peer.send("POST /echo HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_THAT(peer.receive_until("\r\n\r\n"), StartsWith("HTTP/1.1 100"));
    peer.send("ab");
    EXPECT_THAT(peer.receive_until("<ab>"), HasSubstr("<ab>"));
}

TEST_F(http_server_test, answers_head_without_a_body_and_keeps_the_connection)
{
    start();
    raw_peer peer(server_->local_endpoint());
    peer.send("HEAD /echo HTTP/1.1\r\n\r\nGET /echo HTTP/1.1\r\n\r\n");
    EXPECT_THAT(peer.receive_until("<>"), HasSubstr("<>"));
    auto first = peer.received().find("\r\n\r\n");
    EXPECT_THAT(peer.received().substr(first + 4), StartsWith("HTTP/1.1 200"));
}

TEST_F(http_server_test, hands_unknown_verbs_to_the_handler)
{
    start();
    raw_peer peer(server_->local_endpoint());
    peer.send("BREW /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_THAT(peer.receive_until("<x>"), HasSubstr("<x>"));
}

TEST_F(http_server_test, bytes_after_the_announced_length_are_a_new_request)
{
    start();
    raw_peer peer(server_->local_endpoint());
    peer.send("POST /echo HTTP/1.1\r\nContent-Length: 2\r\n\r\nabcd\r\n\r\n");
    EXPECT_TRUE(peer.receive_to_end());
    EXPECT_THAT(peer.received(), HasSubstr("<ab>"));
    EXPECT_THAT(peer.received(), HasSubstr("HTTP/1.1 400"));
}

TEST_F(http_server_test, a_handler_that_throws_answers_that_the_outcome_is_unknown)
{
    start();
    raw_peer peer(server_->local_endpoint());
    peer.send("GET /throw HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(peer.receive_to_end());
    EXPECT_THAT(peer.received(), StartsWith("HTTP/1.1 500"));
    EXPECT_THAT(peer.received(), HasSubstr("\"ran\":\"unknown\""));
    EXPECT_THAT(peer.received(), HasSubstr("broken \\\"handler\\\""));
    expect_alive();
}

TEST_F(http_server_test, an_answer_that_is_missing_or_not_whole_closes_the_connection)
{
    start();
    for (const auto* target : {"/none", "/short"}) {
        raw_peer peer(server_->local_endpoint());
        peer.send("GET " + std::string(target) + " HTTP/1.1\r\n\r\n");
        EXPECT_TRUE(peer.receive_to_end()) << target;
    }
    EXPECT_TRUE(all_closed());
}

TEST_F(http_server_test, a_peer_that_leaves_during_its_request_holds_nothing_up)
{
    start();
    {
        raw_peer peer(server_->local_endpoint());
        peer.send("GET /wait HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(eventually([this] { return server_->in_progress() == 1; }));
    }
    expect_alive();
    handler_.release();
    EXPECT_TRUE(eventually([this] { return server_->in_progress() == 0; }));
    EXPECT_TRUE(all_closed());
}

TEST_F(http_server_test, stopping_closes_idle_connections_and_finishes_requests)
{
    start();
    raw_peer idle(server_->local_endpoint());
    raw_peer used(server_->local_endpoint());
    used.send("GET /echo HTTP/1.1\r\n\r\n");
    used.receive_until("<>");
    raw_peer busy(server_->local_endpoint());
    busy.send("GET /wait HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(eventually([this] { return server_->in_progress() == 1; }));
    ASSERT_TRUE(eventually([this] { return server_->connections() == 3; }));
    server_->stop_accepting();
    EXPECT_TRUE(idle.receive_to_end());
    EXPECT_TRUE(used.receive_to_end());
    EXPECT_EQ(server_->in_progress(), 1U);
    handler_.release();
    EXPECT_TRUE(busy.receive_to_end());
    EXPECT_THAT(busy.received(), HasSubstr("Connection: close"));
    EXPECT_THAT(busy.received(), HasSubstr("<>"));
    EXPECT_TRUE(all_closed());
    EXPECT_THROW(raw_peer{server_->local_endpoint()}, boost::system::system_error);
}

TEST_F(http_server_test, a_second_server_on_the_address_is_refused_by_name)
{
    start();
    auto options = options_;
    options.listen = server_->local_endpoint();
    http_server second(accepting_, std::vector{&first_}, options, handler_);
    auto started = second.start();
    ASSERT_FALSE(started);
    EXPECT_THAT(started.error().detail, HasSubstr(std::to_string(options.listen.port())));
}

} // namespace papayabridge

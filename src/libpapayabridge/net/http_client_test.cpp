#include "run_awaitable.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/http.hpp>
#include <thread>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;

constexpr std::size_t answer_limit = 1024 * 1024;

time_point after(std::chrono::milliseconds wait)
{
    return steady_clock::now() + wait;
}

tcp::endpoint loopback()
{
    return {net::ip::make_address("127.0.0.1"), 0};
}

// What a scripted server does with a connection once it has read a request.
enum class ending
{
    keep,
    close,
    reset
};

// Accepts connections one after the other; to each request it sends the same pieces.
class scripted_server
{
public:
    scripted_server(std::vector<std::string> pieces, std::chrono::milliseconds pause,
                    ending end)
        : acceptor_(context_, loopback()), pieces_(std::move(pieces)), pause_(pause),
          end_(end)
    {
        thread_ = std::thread([this] { serve(); });
    }

    ~scripted_server()
    {
        stopping_ = true;
        boost::system::error_code ignored;
        tcp::socket wake(context_);
        wake.connect(local_, ignored);
        thread_.join();
    }

    const tcp::endpoint& local() const { return local_; }
    int accepted() const { return accepted_; }
    /// Pieces sent so far.
    int sent() const { return sent_; }

private:
    void serve()
    {
        std::vector<std::thread> serving;
        while (!stopping_) {
            auto socket = std::make_shared<tcp::socket>(context_);
            boost::system::error_code failed;
            acceptor_.accept(*socket, failed);
            if (failed || stopping_) {
                break;
            }
            ++accepted_;
            serving.emplace_back([this, socket] { answer(*socket); });
        }
        for (auto& thread : serving) {
            thread.join();
        }
    }

    void answer(tcp::socket& socket)
    {
        net::streambuf received;
        boost::system::error_code failed;
        while (!failed) {
            auto count = net::read_until(socket, received, "\r\n\r\n", failed);
            received.consume(count);
            for (const auto& piece : pieces_) {
                if (!failed) {
                    net::write(socket, net::buffer(piece), failed);
                    ++sent_;
                    std::this_thread::sleep_for(pause_);
                }
            }
            if (end_ == ending::reset) {
                socket.set_option(net::socket_base::linger(true, 0), failed);
            }
            if (end_ != ending::keep) {
                socket.close(failed);
                return;
            }
        }
    }

    net::io_context context_;
    tcp::acceptor acceptor_;
    tcp::endpoint local_ = acceptor_.local_endpoint();
    std::vector<std::string> pieces_;
    std::chrono::milliseconds pause_;
    ending end_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> accepted_{0};
    std::atomic<int> sent_{0};
    std::thread thread_;
};

net::awaitable<result<http_response>> call_pool(http_pool& pool, tcp::endpoint remote,
                                                std::chrono::milliseconds wait)
{
    auto request = make_request(http::verb::get, "/");
    auto answer = co_await pool.call(std::move(remote), std::move(request), answer_limit,
                                     after(wait), traffic_cause::statement);
    co_return answer;
}

result<http_response> call_once(const tcp::endpoint& remote,
                                std::chrono::milliseconds wait)
{
    net::io_context context;
    http_pool pool(std::make_shared<link_table>());
    return run_awaitable(context, call_pool(pool, remote, wait));
}

std::string answer_text(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

struct client_case
{
    const char* name;
    std::vector<std::string> pieces;
    ending end;
    /// Expected body, where the answer is good.
    std::optional<std::string> body;
};

std::vector<client_case> client_cases()
{
    const std::string whole = answer_text("good");
    std::vector<std::string> bytes;
    for (char byte : whole) {
        bytes.emplace_back(1, byte);
    }
    return {
        {"whole", {whole}, ending::keep, "good"},
        {"byte by byte", bytes, ending::keep, "good"},
        {"whole and closed", {whole}, ending::close, "good"},
        {"empty body", {answer_text("")}, ending::keep, ""},
        {"interim answers first",
         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n", whole},
         ending::keep,
         "good"},
        {"doubled", {whole + answer_text("second")}, ending::keep, "good"},
        {"closed before the head", {}, ending::close, std::nullopt},
        {"reset before the head", {}, ending::reset, std::nullopt},
        {"closed in the head", {whole.substr(0, 12)}, ending::close, std::nullopt},
        {"closed after the head",
         {whole.substr(0, whole.size() - 4)},
         ending::close,
         std::nullopt},
        {"half a body", {whole.substr(0, whole.size() - 2)}, ending::close, std::nullopt},
        {"half a body, kept open",
         {whole.substr(0, whole.size() - 2)},
         ending::keep,
         std::nullopt},
        {"nothing at all", {}, ending::keep, std::nullopt},
        {"no HTTP", {"SSH-2.0-server\r\n\r\n"}, ending::keep, std::nullopt},
        {"no length", {"HTTP/1.1 200 OK\r\n\r\ngood"}, ending::close, std::nullopt},
        {"chunked",
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"},
         ending::keep,
         std::nullopt},
        {"bad length",
         {"HTTP/1.1 200 OK\r\nContent-Length: four\r\n\r\ngood"},
         ending::keep,
         std::nullopt},
        {"endless interim answers",
         std::vector<std::string>(8, "HTTP/1.1 100 Continue\r\n\r\n"), ending::keep,
         std::nullopt},
        {"endless header",
         {"HTTP/1.1 200 OK\r\nX: " + std::string(200000, 'a')},
         ending::keep,
         std::nullopt},
    };
}

} // namespace

TEST(http_client, takes_whole_answers_only)
{
    for (const auto& row : client_cases()) {
        scripted_server server(row.pieces, 0ms, row.end);
        auto wait = row.body ? 20000ms : 300ms;
        auto answer = call_once(server.local(), wait);
        ASSERT_EQ(answer.has_value(), row.body.has_value()) << row.name;
        if (row.body) {
            EXPECT_EQ(answer.value().body(), *row.body) << row.name;
        } else {
            EXPECT_EQ(answer.error().kind, error_kind::outcome_unknown)
                << row.name << ": " << answer.error().str();
        }
    }
}

TEST(http_client, an_answer_over_the_limit_is_too_large)
{
    scripted_server server({answer_text(std::string(answer_limit + 1, 'a'))}, 0ms,
                           ending::close);
    auto answer = call_once(server.local(), 20s);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, error_kind::too_large);
}

TEST(http_client, an_answer_of_the_limit_is_taken)
{
    scripted_server server({answer_text(std::string(answer_limit, 'a'))}, 0ms,
                           ending::keep);
    auto answer = call_once(server.local(), 20s);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer.value().body().size(), answer_limit);
}

TEST(http_client, a_refused_connect_is_unreachable)
{
    net::io_context context;
    tcp::acceptor held(context, loopback());
    auto remote = held.local_endpoint();
    held.close();
    auto answer = call_once(remote, 20s);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, error_kind::unreachable);
}

TEST(http_client, a_late_answer_is_not_taken_for_the_next_request)
{
    scripted_server server({"", answer_text("late")}, 300ms, ending::keep);
    net::io_context context;
    http_pool pool(std::make_shared<link_table>());
    auto lost = run_awaitable(context, call_pool(pool, server.local(), 50ms));
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().kind, error_kind::outcome_unknown);
    auto second = run_awaitable(context, call_pool(pool, server.local(), 20s));
    EXPECT_TRUE(second);
    EXPECT_EQ(server.accepted(), 2);
}

TEST(http_client, an_unasked_answer_is_never_taken)
{
    // The second answer of the pair arrives unasked.
    scripted_server server({answer_text("first"), answer_text("unasked")}, 20ms,
                           ending::keep);
    net::io_context context;
    http_pool pool(std::make_shared<link_table>());
    for (int i = 0; i < 3; ++i) {
        auto answer = run_awaitable(context, call_pool(pool, server.local(), 20s));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer.value().body(), "first");
        while (server.sent() < 2 * (i + 1)) {
            std::this_thread::sleep_for(1ms);
        }
    }
    EXPECT_EQ(server.accepted(), 3);
}

TEST(http_client, a_kept_connection_is_used_again)
{
    scripted_server server({answer_text("good")}, 0ms, ending::keep);
    net::io_context context;
    http_pool pool(std::make_shared<link_table>());
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(run_awaitable(context, call_pool(pool, server.local(), 20s)));
    }
    EXPECT_EQ(server.accepted(), 1);
}

TEST(http_client, an_unused_connection_is_usable_until_the_peer_closes)
{
    net::io_context context;
    tcp::acceptor acceptor(context, loopback());
    auto links = std::make_shared<link_table>();
    auto connected = run_awaitable(
        context, http_connection::connect(links, acceptor.local_endpoint(), after(20s)));
    ASSERT_TRUE(connected);
    auto accepted = acceptor.accept();
    EXPECT_TRUE(connected.value()->reusable());
    accepted.close();
    EXPECT_FALSE(connected.value()->reusable());
}

TEST(http_client, a_cut_link_is_unreachable_at_the_deadline)
{
    scripted_server server({answer_text("good")}, 0ms, ending::keep);
    auto links = std::make_shared<link_table>();
    links->set_cut({}, link_cut::both);
    net::io_context context;
    http_pool pool(links);
    auto answer = run_awaitable(context, call_pool(pool, server.local(), 50ms));
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, error_kind::unreachable);
    EXPECT_EQ(server.accepted(), 0);
}

} // namespace papayabridge

#include "raw_peer.hpp"
#include "run_awaitable.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <papayabridge/http.hpp>
#include <thread>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t answer_bytes = 64 * 1024 * 1024;
constexpr std::size_t piece_bytes = 64 * 1024;

// Byte `at` of the streamed answer.
char pattern(std::uint64_t at)
{
    return static_cast<char>('a' + at % 23);
}

// Streams one long answer and counts what was written.
class stream_test : public testing::Test
{
protected:
    void start(std::chrono::milliseconds send_timeout)
    {
        http_server_options options;
        options.listen = {net::ip::make_address("127.0.0.1"), 0};
        options.send_timeout = send_timeout;
        server_.emplace(serving_, std::vector{&serving_}, options,
                        [this](http_exchange& exchange) { return answer(exchange); });
        ASSERT_TRUE(server_->start());
        thread_ = std::thread([this] { serving_.run(); });
    }

    ~stream_test() override
    {
        server_->stop_accepting();
        guard_.reset();
        thread_.join();
    }

    // Waits until nothing more is being written; returns how much was.
    std::uint64_t written_at_rest()
    {
        std::uint64_t before = 0;
        while (written_ == 0 || written_ != before) {
            before = written_;
            std::this_thread::sleep_for(100ms);
        }
        return before;
    }

    net::awaitable<void> answer(http_exchange& exchange)
    {
        auto head = make_response(200, "");
        auto started = co_await exchange.start_reply(std::move(head), answer_bytes);
        std::vector<char> piece(piece_bytes);
        while (started && written_ < answer_bytes) {
            for (std::size_t i = 0; i < piece.size(); ++i) {
                piece[i] = pattern(written_ + i);
            }
            started = co_await exchange.write_body(piece);
            if (started) {
                written_ += piece.size();
            }
        }
        ended_well_ = started.has_value();
    }

    net::io_context serving_{1};
    net::executor_work_guard<net::io_context::executor_type> guard_{
        serving_.get_executor()};
    std::optional<http_server> server_;
    std::thread thread_;
    std::atomic<std::uint64_t> written_{0};
    std::atomic<bool> ended_well_{true};
};

net::awaitable<result<std::unique_ptr<http_connection>>> ask(tcp::endpoint remote)
{
    auto deadline = steady_clock::now() + 60s;
    auto connection = co_await http_connection::connect(std::make_shared<link_table>(),
                                                        std::move(remote), deadline);
    if (connection) {
        auto request = make_request(http::verb::get, "/");
        auto head = co_await connection.value()->send(std::move(request), deadline);
        if (!head || head.value().length != answer_bytes) {
            co_return fail(error_kind::internal, "no head of the right length");
        }
    }
    co_return connection;
}

// Reads `count` bytes and checks them; returns how many were right.
net::awaitable<std::uint64_t> read_checked(http_connection& connection,
                                           std::uint64_t from, std::uint64_t count)
{
    auto deadline = steady_clock::now() + 60s;
    std::vector<char> piece(piece_bytes);
    std::uint64_t right = 0;
    while (right < count) {
        auto got = co_await connection.read(piece, deadline);
        if (!got || got.value() == 0) {
            break;
        }
        for (std::size_t i = 0; i < got.value(); ++i) {
            if (piece[i] != pattern(from + right + i)) {
                co_return right;
            }
        }
        right += got.value();
    }
    co_return right;
}

} // namespace

TEST_F(stream_test, a_slow_reader_holds_the_sender_back)
{
    start(60s);
    net::io_context context;
    auto connection = run_awaitable(context, ask(server_->local_endpoint()));
    ASSERT_TRUE(connection);
    auto& reader = *connection.value();
    auto first = run_awaitable(context, read_checked(reader, 0, 16 * piece_bytes));
    EXPECT_EQ(first, 16 * piece_bytes);
    EXPECT_LT(written_at_rest(), answer_bytes / 2);
    auto rest = run_awaitable(context, read_checked(reader, first, answer_bytes - first));
    EXPECT_EQ(first + rest, answer_bytes);
    EXPECT_EQ(run_awaitable(context, read_checked(reader, 0, 1)), 0U);
    EXPECT_TRUE(reader.response_complete());
}

TEST_F(stream_test, a_peer_that_takes_nothing_is_dropped)
{
    start(300ms);
    raw_peer peer(server_->local_endpoint());
    peer.send("GET / HTTP/1.1\r\n\r\n");
    for (int i = 0; i < 20000 && ended_well_; ++i) {
        std::this_thread::sleep_for(1ms);
    }
    EXPECT_FALSE(ended_well_);
    EXPECT_LT(written_, answer_bytes);
}

} // namespace papayabridge

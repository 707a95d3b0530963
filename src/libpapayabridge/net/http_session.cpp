#include "http_session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::size_t first_read_bytes = 2048;
// A chunked body is taken in pieces of at most this size.
constexpr std::size_t least_buffer_limit = 64 * 1024;
constexpr std::chrono::milliseconds shortest_sweep{10};
constexpr std::chrono::milliseconds longest_sweep{1000};
constexpr int sweeps_per_timeout = 8;
// After a refusal, what the peer had already sent is read and dropped within these
// bounds; otherwise its kernel would drop the answer unread.
constexpr std::chrono::milliseconds longest_linger{1000};
constexpr std::size_t most_lingering_bytes = 4 * 1024 * 1024;
constexpr std::size_t linger_piece_bytes = 16 * 1024;

std::string error_body(const error& problem)
{
    const auto& answer = answer_of(problem.kind);
    Json::Value body;
    body["error"] = std::string(answer.name);
    body["ran"] = std::string(to_string(answer.ran));
    body["retry"] = std::string(to_string(answer.advice));
    body["detail"] = problem.detail;
    return to_json(body);
}

http_response error_response(const error& problem)
{
    return make_response(answer_of(problem.kind).http_status, error_body(problem));
}

// Which answer a request that could not be parsed gets; nothing if the peer is gone.
std::optional<error> parse_problem(beast::error_code failed)
{
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow) {
        return fail(error_kind::too_large, "the headers are over the limit");
    }
    if (failed == http::error::body_limit) {
        return fail(error_kind::too_large, "the body is over the limit");
    }
    if (failed.category() == make_error_code(http::error::bad_method).category() &&
        failed != http::error::end_of_stream && failed != http::error::partial_message)
    {
        return fail(error_kind::bad_request,
                    "not an HTTP/1.1 request: " + failed.message());
    }
    return std::nullopt;
}

std::chrono::milliseconds sweep_interval(const http_server_options& options)
{
    auto shortest =
        std::min({options.idle_timeout, options.receive_timeout, options.send_timeout});
    return std::clamp(shortest / sweeps_per_timeout, shortest_sweep, longest_sweep);
}

// Counts one request in progress as long as it lives.
class progress_guard
{
public:
    explicit progress_guard(std::atomic<std::size_t>& count) : count_(&count)
    {
        ++*count_;
    }
    ~progress_guard() { --*count_; }
    progress_guard(const progress_guard&) = delete;
    progress_guard& operator=(const progress_guard&) = delete;

private:
    std::atomic<std::size_t>* count_;
};

} // namespace

http_session::http_session(std::shared_ptr<http_shared> server,
                           std::shared_ptr<http_lane> lane, tcp::socket socket)
    : server_(std::move(server)), lane_(std::move(lane)), socket_(std::move(socket)),
      buffer_(std::max(server_->options.max_header_bytes, least_buffer_limit))
{
    beast::error_code ignored;
    remote_ = socket_.remote_endpoint(ignored);
    ++server_->connections;
}

http_session::~http_session()
{
    --server_->connections;
}

net::awaitable<void> http_session::run()
{
    lane_->sessions.push_back(*this);
    beast::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    while (keep_) {
        if (!co_await wait_for_request()) {
            break;
        }
        co_await one_request();
        request_ = {};
        if (buffer_.size() == 0) {
            buffer_.shrink_to_fit();
        }
    }
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    if (server_->options.on_close) {
        server_->options.on_close(remote_);
    }
}

// False if the peer was idle for too long or left, or if the server stops.
net::awaitable<bool> http_session::wait_for_request()
{
    if (buffer_.size() != 0) {
        co_return true;
    }
    if (!server_->stopping) {
        allow(server_->options.idle_timeout);
        idle_ = true;
        auto [failed] = co_await socket_.async_wait(tcp::socket::wait_read, use_tuple);
        idle_ = false;
        if (!failed) {
            co_return true;
        }
    }
    // A request that arrived before the server stopped is still served.
    beast::error_code closed;
    co_return socket_.available(closed) > 0 && !closed;
}

net::awaitable<void> http_session::one_request()
{
    answered_ = false;
    remaining_ = 0;
    {
        parser reader;
        if (!co_await read_request(reader)) {
            co_return;
        }
        request_ = reader.release();
    }
    keep_ = request_.keep_alive();
    co_await handle();
    if (!answered_ || remaining_ != 0) {
        // The peer must see that this answer is not whole.
        keep_ = false;
    }
}

net::awaitable<bool> http_session::read_request(parser& reader)
{
    const auto& options = server_->options;
    reader.header_limit(static_cast<std::uint32_t>(options.max_header_bytes));
    reader.body_limit(options.max_body_bytes);
    buffer_.reserve(first_read_bytes);
    allow(options.receive_timeout);
    auto [failed, head_bytes] =
        co_await http::async_read_header(socket_, buffer_, reader, use_tuple);
    if (!failed && reader.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> go_on(http::status::continue_, 11);
        auto [not_sent, sent] = co_await http::async_write(socket_, go_on, use_tuple);
        failed = not_sent;
    }
    if (!failed && !reader.is_done()) {
        auto [broken, body_bytes] =
            co_await http::async_read(socket_, buffer_, reader, use_tuple);
        failed = broken;
    }
    allow_forever();
    if (failed) {
        co_await refuse(failed);
        co_return false;
    }
    co_return true;
}

net::awaitable<void> http_session::handle()
{
    progress_guard progress(server_->in_progress);
    http_exchange exchange(*this);
    std::string thrown;
    try {
        co_await server_->handler(exchange);
    } catch (const std::exception& failed) {
        thrown = failed.what();
        keep_ = false;
    }
    if (!answered_ && !thrown.empty()) {
        auto problem = fail(error_kind::internal, "the request failed: " + thrown);
        static_cast<void>(co_await send_whole(error_response(problem)));
    }
}

net::awaitable<void> http_session::refuse(beast::error_code failed)
{
    keep_ = false;
    auto problem = parse_problem(failed);
    if (!problem) {
        co_return;
    }
    auto sent = co_await send_whole(error_response(*problem));
    if (sent) {
        co_await linger();
    }
}

net::awaitable<void> http_session::linger()
{
    beast::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    allow(std::min(longest_linger, server_->options.receive_timeout));
    std::vector<char> dropped(linger_piece_bytes);
    std::size_t total = 0;
    while (total < most_lingering_bytes) {
        auto [failed, count] =
            co_await socket_.async_read_some(net::buffer(dropped), use_tuple);
        if (failed) {
            co_return;
        }
        total += count;
    }
}

net::awaitable<result<void>> http_session::send_whole(http_response response)
{
    if (request_.method() == http::verb::head) {
        auto length = response.body().size();
        auto sent = co_await send_head(std::move(response), length);
        co_return sent;
    }
    keep_ = keep_ && !server_->stopping;
    response.keep_alive(keep_);
    response.prepare_payload();
    answered_ = true;
    allow(server_->options.send_timeout);
    auto [failed, sent] = co_await http::async_write(socket_, response, use_tuple);
    co_return checked(failed);
}

net::awaitable<result<void>> http_session::send_head(http_response head,
                                                     std::uint64_t length)
{
    http::response<http::empty_body> only_head(std::move(head.base()));
    keep_ = keep_ && !server_->stopping;
    only_head.keep_alive(keep_);
    only_head.content_length(length);
    answered_ = true;
    remaining_ = request_.method() == http::verb::head ? 0 : length;
    http::response_serializer<http::empty_body> serializer(only_head);
    allow(server_->options.send_timeout);
    auto [failed, sent] =
        co_await http::async_write_header(socket_, serializer, use_tuple);
    co_return checked(failed);
}

net::awaitable<result<void>> http_session::send_piece(std::span<const char> piece)
{
    if (request_.method() == http::verb::head) {
        co_return success();
    }
    if (piece.size() > remaining_) {
        keep_ = false;
        co_return fail(error_kind::internal, "the answer is longer than announced");
    }
    allow(server_->options.send_timeout);
    auto [failed, sent] = co_await net::async_write(
        socket_, net::buffer(piece.data(), piece.size()), use_tuple);
    remaining_ -= sent;
    co_return checked(failed);
}

result<void> http_session::checked(beast::error_code failed)
{
    allow_forever();
    if (failed) {
        keep_ = false;
        return fail(error_kind::unreachable, "the peer is gone: " + failed.message());
    }
    return success();
}

void http_session::allow(std::chrono::milliseconds time)
{
    late_at_ = steady_clock::now() + time;
}

void http_session::close_if_late(time_point now)
{
    if (now < late_at_) {
        return;
    }
    keep_ = false;
    beast::error_code ignored;
    socket_.close(ignored);
}

void http_session::wake_if_idle()
{
    if (idle_) {
        beast::error_code ignored;
        socket_.cancel(ignored);
    }
}

net::awaitable<void> sweep_sessions(std::shared_ptr<http_shared> server,
                                    std::shared_ptr<http_lane> lane)
{
    auto interval = sweep_interval(server->options);
    while (!server->stopping || !lane->sessions.empty()) {
        lane->sweep_timer.expires_after(server->stopping ? shortest_sweep : interval);
        co_await lane->sweep_timer.async_wait(use_tuple);
        auto now = steady_clock::now();
        for (auto& session : lane->sessions) {
            session.close_if_late(now);
        }
    }
}

} // namespace papayabridge

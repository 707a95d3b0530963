#include "deadline_socket.hpp"

#include <papayabridge/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::uint64_t longest_body = std::uint64_t(1) << 30U;
constexpr std::size_t piece_bytes = 64 * 1024;
constexpr std::size_t most_buffered_bytes = 64 * 1024;
// What request lines and headers cost, for the byte counts of links.
constexpr std::size_t head_bytes = 256;
constexpr int most_interim_answers = 4;

} // namespace

std::string_view http_response_head::header(std::string_view name) const
{
    auto value = fields[beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

http_connection::http_connection(std::shared_ptr<link_table> links, tcp::endpoint remote,
                                 std::unique_ptr<deadline_socket> socket)
    : links_(std::move(links)), link_(&links_->link_to(remote)),
      remote_(std::move(remote)), socket_(std::move(socket)), buffer_(most_buffered_bytes)
{
}

http_connection::~http_connection() = default;

net::awaitable<result<std::unique_ptr<http_connection>>>
http_connection::connect(std::shared_ptr<link_table> links, tcp::endpoint remote,
                         time_point deadline)
{
    auto& way = links->link_to(remote);
    auto executor = co_await net::this_coro::executor;
    if (way.cut.load() != link_cut::none) {
        net::steady_timer wait(executor);
        wait.expires_at(deadline);
        co_await wait.async_wait(use_tuple);
        co_return fail(error_kind::unreachable, "no answer from " + to_string(remote));
    }
    auto socket = std::make_unique<deadline_socket>(executor);
    socket->expires_at(deadline);
    auto [failed] = co_await socket->socket().async_connect(remote, use_tuple);
    if (failed) {
        co_return fail(error_kind::unreachable, "cannot connect to " + to_string(remote) +
                                                    ": " + failed.message());
    }
    socket->expires_never();
    beast::error_code ignored;
    socket->socket().set_option(tcp::no_delay(true), ignored);
    socket->socket().non_blocking(true, ignored);
    // Not make_unique: the constructor is private.
    co_return std::unique_ptr<http_connection>(
        new http_connection(std::move(links), std::move(remote), std::move(socket)));
}

error http_connection::fail_connection(error_kind kind, const std::string& step,
                                       beast::error_code failed)
{
    close();
    auto reason = failed ? ": " + failed.message() : std::string();
    return fail(kind, step + " " + to_string(remote_) + reason);
}

net::awaitable<result<http_response_head>>
http_connection::send(http_request request, time_point deadline, traffic_cause cause)
{
    cause_ = cause;
    used_ = true;
    parser_.reset();
    auto bytes = request.body().size() + head_bytes;
    if (!co_await links_->pace_send(*link_, cause, bytes, deadline)) {
        co_return fail_connection(error_kind::unreachable, "no way to", {});
    }
    socket_->expires_at(deadline);
    auto [not_sent, sent] =
        co_await http::async_write(socket_->socket(), request, use_tuple);
    if (not_sent) {
        auto kind = sent == 0 ? error_kind::unreachable : error_kind::outcome_unknown;
        co_return fail_connection(kind, "sending to", not_sent);
    }
    auto failed = co_await read_head();
    if (failed) {
        co_return fail_connection(error_kind::outcome_unknown, "no answer from", failed);
    }
    if (!co_await links_->pace_receive(*link_, cause, head_bytes, deadline)) {
        co_return fail_connection(error_kind::outcome_unknown, "no answer from", {});
    }
    if (!parser_->content_length()) {
        co_return fail_connection(error_kind::outcome_unknown,
                                  "an answer of no length from", {});
    }
    http_response_head head;
    head.status = parser_->get().result_int();
    head.length = *parser_->content_length();
    head.fields = std::move(parser_->get().base());
    co_return head;
}

// Reads the head of the answer, past a few interim ones (status 1xx).
net::awaitable<beast::error_code> http_connection::read_head()
{
    for (int i = 0; i < most_interim_answers; ++i) {
        parser_.emplace();
        parser_->body_limit(longest_body);
        auto [failed, count] = co_await http::async_read_header(
            socket_->socket(), buffer_, *parser_, use_tuple);
        if (failed ||
            parser_->get().result_int() >= static_cast<unsigned>(http::status::ok)) {
            co_return failed;
        }
    }
    co_return make_error_code(http::error::bad_status);
}

net::awaitable<result<std::size_t>> http_connection::read(std::span<char> into,
                                                          time_point deadline)
{
    if (!parser_ || broken_) {
        co_return fail(error_kind::internal, "no answer is being read");
    }
    if (parser_->is_done()) {
        socket_->expires_never();
        co_return std::size_t(0);
    }
    auto& body = parser_->get().body();
    body.data = into.data();
    body.size = into.size();
    body.more = true;
    socket_->expires_at(deadline);
    auto [failed, count] =
        co_await http::async_read(socket_->socket(), buffer_, *parser_, use_tuple);
    if (failed && failed != http::error::need_buffer) {
        co_return fail_connection(error_kind::outcome_unknown, "a broken answer from",
                                  failed);
    }
    auto got = into.size() - body.size;
    if (!co_await links_->pace_receive_piece(*link_, cause_, got, deadline)) {
        co_return fail_connection(error_kind::outcome_unknown, "a broken answer from",
                                  {});
    }
    socket_->expires_never();
    co_return got;
}

net::awaitable<result<std::string>> http_connection::read_all(std::size_t most,
                                                              time_point deadline)
{
    std::string body;
    while (parser_ && !parser_->is_done()) {
        auto left = parser_->content_length_remaining().value_or(0);
        auto start = body.size();
        if (left > most - start) {
            co_return fail_connection(error_kind::too_large,
                                      "an answer over the limit from", {});
        }
        auto room = std::min<std::size_t>(piece_bytes, left);
        body.resize(start + room);
        auto got = co_await read({body.data() + start, room}, deadline);
        if (!got) {
            co_return got.error();
        }
        body.resize(start + got.value());
    }
    socket_->expires_never();
    co_return body;
}

bool http_connection::response_complete() const
{
    if (!used_) {
        return !broken_;
    }
    return !broken_ && parser_ && parser_->is_done() && parser_->keep_alive() &&
           buffer_.size() == 0;
}

bool http_connection::reusable()
{
    if (!response_complete()) {
        return false;
    }
    // Readable while no answer is due: the peer closed it or sent something unasked.
    beast::error_code failed;
    char byte = 0;
    socket_->socket().receive(net::buffer(&byte, 1), net::socket_base::message_peek,
                              failed);
    return failed == net::error::would_block;
}

void http_connection::close()
{
    broken_ = true;
    socket_->close();
}

net::awaitable<result<std::unique_ptr<http_connection>>>
http_pool::acquire(tcp::endpoint remote, time_point deadline)
{
    auto& idle = idle_[remote];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->reusable()) {
            co_return connection;
        }
    }
    auto connected = co_await http_connection::connect(links_, remote, deadline);
    co_return connected;
}

void http_pool::release(std::unique_ptr<http_connection> connection)
{
    // Whether it can be used again is found out when it is taken.
    auto& idle = idle_[connection->remote_endpoint()];
    if (idle.size() < max_idle_ && connection->response_complete()) {
        idle.push_back(std::move(connection));
    }
}

net::awaitable<result<http_response>>
http_pool::call(tcp::endpoint remote, http_request request, std::size_t most,
                time_point deadline, traffic_cause cause)
{
    auto connection = co_await acquire(remote, deadline);
    if (!connection) {
        co_return connection.error();
    }
    auto head = co_await connection.value()->send(std::move(request), deadline, cause);
    if (!head) {
        co_return head.error();
    }
    auto body = co_await connection.value()->read_all(most, deadline);
    if (!body) {
        co_return body.error();
    }
    http_response response;
    response.result(head.value().status);
    static_cast<http::fields&>(response.base()) = head.value().fields;
    response.body() = std::move(body.value());
    release(std::move(connection.value()));
    co_return response;
}

} // namespace papayabridge

/// \file http.hpp
/// HTTP/1.1 on Boost.Beast: a bounded server and a streaming client connection.
///
/// Server: construct `http_server`, give it a handler, start it. The handler gets one
/// `http_exchange` a request and answers it whole (reply) or in pieces (start, write,
/// finish).
///
/// Client: connect `http_connection`, send a request, read the body whole or in pieces.

#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <papayabridge/error.hpp>
#include <papayabridge/links.hpp>
#include <span>
#include <string>

namespace papayabridge {

namespace beast = boost::beast;
namespace http = beast::http;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Limits of an HTTP server. A timeout may strike up to an eighth of the shortest late.
struct http_server_options
{
    tcp::endpoint listen;
    std::size_t max_connections = 20000;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    /// A connection with no request for so long is closed.
    std::chrono::milliseconds idle_timeout{std::chrono::minutes(10)};
    /// A request must arrive whole within this time of its first byte.
    std::chrono::milliseconds receive_timeout{std::chrono::seconds(10)};
    /// A peer must take each piece of an answer within this time.
    std::chrono::milliseconds send_timeout{std::chrono::seconds(30)};
    /// Called with the peer's address when a connection has closed; may be empty.
    std::function<void(const tcp::endpoint&)> on_close;
};

class deadline_socket;
class http_session;
struct http_shared;
struct http_lane;

/// One request and the way to answer it. Lives until the handler returns.
class http_exchange
{
public:
    const http_request& request() const noexcept;
    /// The header \p name, or "".
    std::string_view header(std::string_view name) const;
    /// The address of the peer.
    tcp::endpoint remote_endpoint() const;

    /// Answers with the whole of \p response; sets Content-Length.
    net::awaitable<result<void>> reply(http_response response);
    /// Begins an answer of \p length bytes of body.
    net::awaitable<result<void>> start_reply(http_response head, std::uint64_t length);
    /// Sends the next piece; returns once the peer's window took it.
    net::awaitable<result<void>> write_body(std::span<const char> piece);

    /// Whether any byte of an answer was sent.
    bool answered() const noexcept;
    /// Closes the connection after this answer.
    void close_after_reply() noexcept;

    explicit http_exchange(http_session& session) : session_(&session) {}

private:
    http_session* session_;
};

using http_handler = std::function<net::awaitable<void>(http_exchange&)>;

/// Accepts connections and hands them round robin to the given contexts.
class http_server
{
public:
    http_server(net::io_context& acceptor_context, std::vector<net::io_context*> traffic,
                http_server_options options, http_handler handler);
    ~http_server();

    /// Binds and begins to accept; the detail of an error names the address.
    result<void> start();
    /// Stops accepting and closes idle connections. Requests that have arrived are
    /// answered; then their connections close. Thread-safe.
    void stop_accepting();
    /// The address in use, also where port 0 was asked for.
    tcp::endpoint local_endpoint() const;
    /// Connections open now. Once stopped, all that arrived is answered when it is 0.
    std::size_t connections() const noexcept;
    /// Requests being handled now.
    std::size_t in_progress() const noexcept;

    struct listener;

private:
    std::shared_ptr<http_shared> shared_;
    std::shared_ptr<listener> listener_;
    std::vector<net::io_context*> traffic_;
    std::vector<std::weak_ptr<http_lane>> lanes_;
};

/// Head of an answer.
struct http_response_head
{
    unsigned status = 0;
    http::fields fields;
    /// Bytes of body that follow.
    std::uint64_t length = 0;

    /// The header \p name, or "".
    std::string_view header(std::string_view name) const;
};

/// One client connection; one request at a time. Errors: `unreachable` where nothing
/// was sent, `outcome_unknown` where the request may have arrived. An answer without a
/// Content-Length is an error, since it may not be whole.
class http_connection
{
public:
    ~http_connection();

    /// Connects to \p remote by \p deadline over \p links.
    static net::awaitable<result<std::unique_ptr<http_connection>>>
    connect(std::shared_ptr<link_table> links, tcp::endpoint remote, time_point deadline);

    /// Sends \p request and reads the head of the answer.
    net::awaitable<result<http_response_head>>
    send(http_request request, time_point deadline,
         traffic_cause cause = traffic_cause::statement);
    /// Reads the next piece of the body; 0 bytes at its end.
    net::awaitable<result<std::size_t>> read(std::span<char> into, time_point deadline);
    /// Reads the rest of the body, of at most \p most bytes.
    net::awaitable<result<std::string>> read_all(std::size_t most, time_point deadline);

    /// Whether no answer is due: the connection is unused, or the last answer was read
    /// whole and the peer keeps the connection.
    bool response_complete() const;
    /// Whether another request may be sent: no answer is due, and the peer has neither
    /// closed nor sent anything unasked.
    bool reusable();
    const tcp::endpoint& remote_endpoint() const noexcept { return remote_; }
    /// Closes the socket; a pending operation ends with an error.
    void close();

private:
    using parser = http::response_parser<http::buffer_body>;

    http_connection(std::shared_ptr<link_table> links, tcp::endpoint remote,
                    std::unique_ptr<deadline_socket> socket);

    net::awaitable<beast::error_code> read_head();
    error fail_connection(error_kind kind, const std::string& step,
                          beast::error_code failed);

    std::shared_ptr<link_table> links_;
    link* link_;
    traffic_cause cause_ = traffic_cause::statement;
    tcp::endpoint remote_;
    std::unique_ptr<deadline_socket> socket_;
    beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    bool used_ = false;
    bool broken_ = false;
};

/// Idle connections of one thread, kept by remote address. Not thread-safe.
class http_pool
{
public:
    explicit http_pool(std::shared_ptr<link_table> links, std::size_t most_idle = 64)
        : links_(std::move(links)), max_idle_(most_idle)
    {
    }

    /// An idle connection to \p remote, or a new one.
    net::awaitable<result<std::unique_ptr<http_connection>>> acquire(tcp::endpoint remote,
                                                                     time_point deadline);
    /// Gives a connection back; it is dropped if it cannot be used again.
    void release(std::unique_ptr<http_connection> connection);
    /// One request with its whole answer of at most \p most bytes.
    net::awaitable<result<http_response>> call(tcp::endpoint remote, http_request request,
                                               std::size_t most, time_point deadline,
                                               traffic_cause cause);

private:
    std::shared_ptr<link_table> links_;
    std::size_t max_idle_;
    std::map<tcp::endpoint, std::vector<std::unique_ptr<http_connection>>> idle_;
};

/// A request with \p body as JSON.
http_request make_request(http::verb verb, std::string_view target,
                          std::string body = {});
/// A response with \p body as JSON.
http_response make_response(unsigned status, std::string body);

} // namespace papayabridge

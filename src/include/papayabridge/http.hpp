/// \file http.hpp
/// HTTP/1.1 on Boost.Beast: a bounded server and a streaming client connection.
///
/// Server: construct `http_server` with a handler and start it. The handler gets an
/// `http_exchange` for each request and answers it at once (reply) or as a stream
/// (start_reply, then write_body).
///
/// Client: connect an `http_connection`, send a request, then read the body at once or as
/// a stream.

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

/// Options of an HTTP server. A timeout may expire late by up to an eighth of the
/// shortest timeout.
struct http_server_options
{
    tcp::endpoint listen;
    std::size_t max_connections = 20000;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    /// A connection without a request for this time is closed.
    std::chrono::milliseconds idle_timeout{std::chrono::minutes(10)};
    /// A request must be complete within this time of its first byte.
    std::chrono::milliseconds receive_timeout{std::chrono::seconds(10)};
    /// A peer must receive each piece of an answer within this time.
    std::chrono::milliseconds send_timeout{std::chrono::seconds(30)};
    /// Called with the peer's address after a connection has closed; may be empty.
    std::function<void(const tcp::endpoint&)> on_close;
};

class deadline_socket;
class http_session;
struct http_shared;
struct http_lane;

/// A request and its answer. Valid until the handler returns.
class http_exchange
{
public:
    const http_request& request() const noexcept;
    /// The value of header \p name; empty if absent.
    std::string_view header(std::string_view name) const;
    /// The address of the peer.
    tcp::endpoint remote_endpoint() const;

    /// Sends \p response with its body; sets Content-Length.
    net::awaitable<result<void>> reply(http_response response);
    /// Sends the head of an answer with \p length bytes of body.
    net::awaitable<result<void>> start_reply(http_response head, std::uint64_t length);
    /// Sends the next piece of the body; completes when the socket has accepted it.
    net::awaitable<result<void>> write_body(std::span<const char> piece);

    /// Whether sending of an answer has begun.
    bool answered() const noexcept;
    /// Closes the connection after this answer.
    void close_after_reply() noexcept;

    explicit http_exchange(http_session& session) : session_(&session) {}

private:
    http_session* session_;
};

using http_handler = std::function<net::awaitable<void>(http_exchange&)>;

/// Accepts connections and distributes them round-robin over the traffic contexts.
class http_server
{
public:
    http_server(net::io_context& acceptor_context, std::vector<net::io_context*> traffic,
                http_server_options options, http_handler handler);
    ~http_server();

    /// Binds and starts accepting. The detail of an error contains the address.
    result<void> start();
    /// Stops accepting and closes idle connections. Requests already received are
    /// answered before their connections close. Thread-safe.
    void stop_accepting();
    /// The bound address; has the actual port if port 0 was requested.
    tcp::endpoint local_endpoint() const;
    /// Number of open connections. After stop_accepting(), 0 means that all received
    /// requests are answered.
    std::size_t connections() const noexcept;
    /// Number of requests being handled.
    std::size_t in_progress() const noexcept;

    struct listener;

private:
    std::shared_ptr<http_shared> shared_;
    std::shared_ptr<listener> listener_;
    std::vector<net::io_context*> traffic_;
    std::vector<std::weak_ptr<http_lane>> lanes_;
};

/// Status and headers of an answer.
struct http_response_head
{
    unsigned status = 0;
    http::fields fields;
    /// Size of the body that follows, in bytes.
    std::uint64_t length = 0;

    /// The value of header \p name; empty if absent.
    std::string_view header(std::string_view name) const;
};

/// A client connection; one request at a time. Errors: `unreachable` if nothing was sent,
/// `outcome_unknown` if the request may have arrived. An answer without Content-Length is
/// an error, because a truncated body could not be detected.
class http_connection
{
public:
    ~http_connection();

    /// Connects to \p remote before \p deadline. \p links counts and paces the traffic.
    static net::awaitable<result<std::unique_ptr<http_connection>>>
    connect(std::shared_ptr<link_table> links, tcp::endpoint remote, time_point deadline);

    /// Sends \p request and reads the head of the answer.
    net::awaitable<result<http_response_head>>
    send(http_request request, time_point deadline,
         traffic_cause cause = traffic_cause::statement);
    /// Reads the next piece of the body; returns 0 at the end.
    net::awaitable<result<std::size_t>> read(std::span<char> into, time_point deadline);
    /// Reads the rest of the body, of at most \p most bytes.
    net::awaitable<result<std::string>> read_all(std::size_t most, time_point deadline);

    /// Whether no answer is pending: the connection is unused, or the last answer was
    /// read completely and the peer keeps the connection alive.
    bool response_complete() const;
    /// Whether another request may be sent: no answer is pending, and the peer has
    /// neither closed the connection nor sent unexpected data.
    bool reusable();
    const tcp::endpoint& remote_endpoint() const noexcept { return remote_; }
    /// Closes the socket; a pending operation fails.
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

/// Pool of the idle connections of one thread, by remote address. Not thread-safe.
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
    /// Returns a connection to the pool; closes it if it cannot be reused.
    void release(std::unique_ptr<http_connection> connection);
    /// Sends \p request and reads the answer with a body of at most \p most bytes.
    net::awaitable<result<http_response>> call(tcp::endpoint remote, http_request request,
                                               std::size_t most, time_point deadline,
                                               traffic_cause cause);

private:
    std::shared_ptr<link_table> links_;
    std::size_t max_idle_;
    std::map<tcp::endpoint, std::vector<std::unique_ptr<http_connection>>> idle_;
};

/// Makes a request with the JSON text \p body.
http_request make_request(http::verb verb, std::string_view target,
                          std::string body = {});
/// Makes a response with the JSON text \p body.
http_response make_response(unsigned status, std::string body);

} // namespace papayabridge

/// \file http_session.hpp
/// One accepted HTTP connection, and the sessions that share one traffic thread.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <papayabridge/http.hpp>

namespace papayabridge {

/// What all sessions of one server share. Thread-safe.
struct http_shared
{
    http_server_options options;
    http_handler handler;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> in_progress{0};
    std::atomic<bool> stopping{false};
};

using session_hook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

struct http_lane;

/// One accepted connection. It runs on the thread of its lane. Buffers exist only while
/// a request is handled, so that an idle connection costs little.
class http_session : public session_hook
{
public:
    http_session(std::shared_ptr<http_shared> server, std::shared_ptr<http_lane> lane,
                 tcp::socket socket);
    ~http_session();

    /// Serves requests until either side closes.
    net::awaitable<void> run();
    /// Closes the connection if its present step has taken longer than it may.
    void close_if_late(time_point now);
    /// Wakes the session if it waits for a request.
    void wake_if_idle();

    // For http_exchange.
    net::awaitable<result<void>> send_whole(http_response response);
    net::awaitable<result<void>> send_head(http_response head, std::uint64_t length);
    net::awaitable<result<void>> send_piece(std::span<const char> piece);
    const http_request& request() const noexcept { return request_; }
    bool answered() const noexcept { return answered_; }
    void close_after() noexcept { keep_ = false; }
    /// Known also once the peer has closed.
    const tcp::endpoint& remote() const noexcept { return remote_; }

private:
    using parser = http::request_parser<http::string_body>;

    net::awaitable<bool> wait_for_request();
    net::awaitable<void> one_request();
    net::awaitable<bool> read_request(parser& reader);
    net::awaitable<void> handle();
    net::awaitable<void> refuse(beast::error_code failed);
    net::awaitable<void> linger();
    void allow(std::chrono::milliseconds time);
    void allow_forever() noexcept { late_at_ = time_point::max(); }
    result<void> checked(beast::error_code failed);

    std::shared_ptr<http_shared> server_;
    std::shared_ptr<http_lane> lane_;
    tcp::socket socket_;
    tcp::endpoint remote_;
    beast::flat_buffer buffer_;
    http_request request_;
    std::uint64_t remaining_ = 0;
    time_point late_at_ = time_point::max();
    bool keep_ = true;
    bool answered_ = false;
    bool idle_ = false;
};

/// The sessions of one traffic thread, and one timer for all their timeouts. Used on
/// that thread only.
struct http_lane
{
    explicit http_lane(net::io_context& on) : context(&on), sweep_timer(on) {}

    net::io_context* context;
    net::steady_timer sweep_timer;
    boost::intrusive::list<http_session, boost::intrusive::constant_time_size<false>>
        sessions;
};

/// Closes late sessions of \p lane until the server stops and the last one is gone.
net::awaitable<void> sweep_sessions(std::shared_ptr<http_shared> server,
                                    std::shared_ptr<http_lane> lane);

} // namespace papayabridge

#include "http_session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::chrono::milliseconds pause_without_descriptors{50};

} // namespace

// The acceptor belongs to the accept loop and the server; sessions do not hold it, since
// their threads may outlast its own.
struct http_server::listener
{
    explicit listener(net::io_context& context) : acceptor(context) {}

    tcp::acceptor acceptor;
    tcp::endpoint local;
};

const http_request& http_exchange::request() const noexcept
{
    return session_->request();
}

std::string_view http_exchange::header(std::string_view name) const
{
    auto value = session_->request()[beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

tcp::endpoint http_exchange::remote_endpoint() const
{
    return session_->remote();
}

net::awaitable<result<void>> http_exchange::reply(http_response response)
{
    return session_->send_whole(std::move(response));
}

net::awaitable<result<void>> http_exchange::start_reply(http_response head,
                                                        std::uint64_t length)
{
    return session_->send_head(std::move(head), length);
}

net::awaitable<result<void>> http_exchange::write_body(std::span<const char> piece)
{
    return session_->send_piece(piece);
}

bool http_exchange::answered() const noexcept
{
    return session_->answered();
}
void http_exchange::close_after_reply() noexcept
{
    session_->close_after();
}

namespace {

// Holds the session from before its first step, which runs on the lane's thread.
net::awaitable<void> serve(std::shared_ptr<http_session> session)
{
    co_await session->run();
}

net::awaitable<void> accept_loop(std::shared_ptr<http_server::listener> listener,
                                 std::shared_ptr<http_shared> shared,
                                 std::vector<std::weak_ptr<http_lane>> lanes)
{
    std::size_t next = 0;
    while (!shared->stopping) {
        auto lane = lanes[next++ % lanes.size()].lock();
        if (!lane) {
            co_return;
        }
        auto [failed, socket] =
            co_await listener->acceptor.async_accept(*lane->context, use_tuple);
        if (failed == net::error::operation_aborted || shared->stopping) {
            co_return;
        }
        if (failed) {
            net::steady_timer pause(listener->acceptor.get_executor());
            pause.expires_after(pause_without_descriptors);
            co_await pause.async_wait(use_tuple);
            continue;
        }
        if (shared->connections >= shared->options.max_connections) {
            continue;
        }
        auto session = std::make_shared<http_session>(shared, lane, std::move(socket));
        net::co_spawn(*lane->context, serve(std::move(session)), net::detached);
    }
}

} // namespace

http_server::http_server(net::io_context& acceptor_context,
                         std::vector<net::io_context*> traffic,
                         http_server_options options, http_handler handler)
    : shared_(std::make_shared<http_shared>()),
      listener_(std::make_shared<listener>(acceptor_context)),
      traffic_(std::move(traffic))
{
    shared_->options = std::move(options);
    shared_->handler = std::move(handler);
}

http_server::~http_server()
{
    stop_accepting();
}

result<void> http_server::start()
{
    const auto& listen = shared_->options.listen;
    auto& acceptor = listener_->acceptor;
    beast::error_code failed;
    acceptor.open(listen.protocol(), failed);
    if (!failed) {
        acceptor.set_option(net::socket_base::reuse_address(true), failed);
    }
    if (!failed) {
        acceptor.bind(listen, failed);
    }
    if (!failed) {
        acceptor.listen(net::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return fail(error_kind::unreachable,
                    "cannot listen on " + to_string(listen) + ": " + failed.message());
    }
    listener_->local = acceptor.local_endpoint(failed);
    // Each lane belongs to coroutines of its context, and goes with it.
    for (auto* context : traffic_) {
        auto lane = std::make_shared<http_lane>(*context);
        lanes_.push_back(lane);
        net::co_spawn(*context, sweep_sessions(shared_, lane), net::detached);
    }
    net::co_spawn(acceptor.get_executor(), accept_loop(listener_, shared_, lanes_),
                  net::detached);
    return success();
}

void http_server::stop_accepting()
{
    if (shared_->stopping.exchange(true)) {
        return;
    }
    net::post(listener_->acceptor.get_executor(), [listener = listener_] {
        beast::error_code ignored;
        listener->acceptor.close(ignored);
    });
    for (const auto& known : lanes_) {
        auto lane = known.lock();
        if (!lane) {
            continue;
        }
        net::post(*lane->context, [lane] {
            lane->sweep_timer.cancel();
            for (auto& session : lane->sessions) {
                session.wake_if_idle();
            }
        });
    }
}

tcp::endpoint http_server::local_endpoint() const
{
    return listener_->local;
}

std::size_t http_server::connections() const noexcept
{
    return shared_->connections;
}
std::size_t http_server::in_progress() const noexcept
{
    return shared_->in_progress;
}

http_request make_request(http::verb verb, std::string_view target, std::string body)
{
    http_request request(verb, beast::string_view(target.data(), target.size()), 11);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

http_response make_response(unsigned status, std::string body)
{
    http_response response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

} // namespace papayabridge

#include "envelope.hpp"
#include "frame.hpp"
#include "net/tcp_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>
#include <papayabridge/json.hpp>
#include <papayabridge/rpc.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr unsigned max_params_depth = 64;
constexpr std::chrono::milliseconds handshake_timeout{2000};
// Delay after a failed accept, which fails at once as long as the process has no free
// file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{50};

// An accepted connection.
struct rpc_session
{
    explicit rpc_session(tcp::socket accepted)
        : socket(std::move(accepted)), writer(socket),
          handshake_timer(socket.get_executor())
    {
    }

    tcp::socket socket;
    frame_writer writer;
    /// Closes the connection if the peer does not authenticate in time.
    net::steady_timer handshake_timer;
};

// An error is encoded as a message of the form "kind: detail".
std::string encode_response(const result<rpc_message>& answer)
{
    if (!answer) {
        return encode_rpc_error(answer.error().str());
    }
    return encode_rpc_result(to_json(answer.value().body));
}

} // namespace

struct rpc_server::state
{
    state(net::any_io_executor server_executor, tcp::endpoint listen_endpoint,
          token_codec fleet_key)
        : executor(std::move(server_executor)), listen(std::move(listen_endpoint)),
          key(std::move(fleet_key)), acceptor(executor)
    {
    }

    net::any_io_executor executor;
    tcp::endpoint listen;
    token_codec key;
    tcp::acceptor acceptor;
    std::map<std::string, rpc_handler> methods;
    std::list<std::weak_ptr<rpc_session>> sessions;
    bool stopped = false;
};

namespace {

net::awaitable<result<rpc_message>> dispatch(std::shared_ptr<rpc_server::state> server,
                                             frame request)
{
    auto envelope = decode_rpc_request(request.envelope);
    if (!envelope.valid) {
        co_return fail(error_kind::bad_request, "not a JSON-RPC 2.0 request");
    }
    auto found = server->methods.find(envelope.method);
    if (found == server->methods.end()) {
        co_return fail(error_kind::bad_request, "unknown method " + envelope.method);
    }
    json_options options;
    options.max_depth = max_params_depth;
    auto params = parse_json(envelope.params, options);
    if (!params) {
        co_return params.error();
    }
    rpc_message message;
    message.body = std::move(params.value());
    message.payload = std::move(request.payload);
    std::string exception_text;
    try {
        auto answer = co_await found->second(std::move(message));
        co_return answer;
    } catch (const std::exception& exception) {
        exception_text = exception.what();
    }
    co_return fail(error_kind::internal, envelope.method + " failed: " + exception_text);
}

net::awaitable<void> handle_request(std::shared_ptr<rpc_server::state> server,
                                    std::shared_ptr<rpc_session> session, frame request)
{
    auto id = request.id;
    auto answer = co_await dispatch(server, std::move(request));
    frame response;
    response.kind = frame_kind::response;
    response.id = id;
    response.envelope = encode_response(answer);
    if (answer) {
        response.payload = std::move(answer.value().payload);
    }
    session->writer.send(std::move(response), session);
}

net::awaitable<bool> authenticate_peer(std::shared_ptr<rpc_server::state> server,
                                       std::shared_ptr<rpc_session> session)
{
    session->handshake_timer.expires_after(handshake_timeout);
    session->handshake_timer.async_wait(
        [weak_session = std::weak_ptr(session)](boost::system::error_code ec) {
            auto session = weak_session.lock();
            if (!ec && session) {
                boost::system::error_code ignored;
                session->socket.close(ignored);
            }
        });
    bool authenticated = co_await challenge_peer(session->socket, server->key);
    session->handshake_timer.cancel();
    co_return authenticated;
}

net::awaitable<void> serve_session(std::shared_ptr<rpc_server::state> server,
                                   std::shared_ptr<rpc_session> session)
{
    set_liveness_options(session->socket);
    if (!co_await authenticate_peer(server, session)) {
        co_return;
    }
    while (!server->stopped) {
        auto request = co_await read_frame(session->socket, rpc_frame_limit);
        if (!request || request.value().kind != frame_kind::request) {
            break;
        }
        net::co_spawn(server->executor,
                      handle_request(server, session, std::move(request.value())),
                      net::detached);
    }
    boost::system::error_code ignored;
    session->socket.close(ignored);
}

net::awaitable<void> accept_loop(std::shared_ptr<rpc_server::state> server)
{
    while (!server->stopped) {
        auto [ec, socket] = co_await server->acceptor.async_accept(use_tuple);
        if (ec == net::error::operation_aborted || server->stopped) {
            co_return;
        }
        if (ec) {
            net::steady_timer retry_timer(server->executor);
            retry_timer.expires_after(accept_retry_delay);
            co_await retry_timer.async_wait(use_tuple);
            continue;
        }
        auto session = std::make_shared<rpc_session>(std::move(socket));
        server->sessions.remove_if([](const auto& old) { return old.expired(); });
        server->sessions.push_back(session);
        net::co_spawn(server->executor, serve_session(server, session), net::detached);
    }
}

} // namespace

rpc_server::rpc_server(net::any_io_executor executor, tcp::endpoint listen,
                       token_codec fleet_key)
    : state_(std::make_shared<state>(std::move(executor), std::move(listen),
                                     std::move(fleet_key)))
{
}

rpc_server::~rpc_server()
{
    stop();
}

void rpc_server::add_method(std::string name, rpc_handler handler)
{
    state_->methods[std::move(name)] = std::move(handler);
}

result<void> rpc_server::start()
{
    auto& acceptor = state_->acceptor;
    boost::system::error_code ec;
    acceptor.open(state_->listen.protocol(), ec);
    if (!ec) {
        acceptor.set_option(net::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(state_->listen, ec);
    }
    if (!ec) {
        acceptor.listen(net::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return fail(error_kind::unreachable, "cannot listen on " +
                                                 to_string(state_->listen) + ": " +
                                                 ec.message());
    }
    net::co_spawn(state_->executor, accept_loop(state_), net::detached);
    return success();
}

void rpc_server::stop()
{
    state_->stopped = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (const auto& session : state_->sessions) {
        if (auto live_session = session.lock()) {
            live_session->socket.close(ignored);
        }
    }
}

tcp::endpoint rpc_server::local_endpoint() const
{
    boost::system::error_code ignored;
    return state_->acceptor.local_endpoint(ignored);
}

} // namespace papayabridge

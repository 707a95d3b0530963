#include "envelope.hpp"
#include "frame.hpp"

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
constexpr unsigned deepest_params = 64;
constexpr std::chrono::milliseconds opening_timeout{2000};
constexpr std::chrono::milliseconds pause_without_descriptors{50};

// One accepted connection.
struct rpc_session
{
    explicit rpc_session(tcp::socket accepted)
        : socket(std::move(accepted)), writer(socket), opening(socket.get_executor())
    {
    }

    tcp::socket socket;
    frame_writer writer;
    /// Closes a peer that does not prove itself in time.
    net::steady_timer opening;
};

// An error crosses as "kind: detail" in the envelope's message.
std::string envelope_of(const result<rpc_message>& answer)
{
    if (!answer) {
        return encode_rpc_error(answer.error().str());
    }
    return encode_rpc_result(to_json(answer.value().body));
}

} // namespace

struct rpc_server::state
{
    state(net::any_io_executor on, tcp::endpoint at, token_codec fleet)
        : executor(std::move(on)), listen(std::move(at)), key(std::move(fleet)),
          acceptor(executor)
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
        co_return fail(error_kind::bad_request, "no method called " + envelope.method);
    }
    json_options options;
    options.max_depth = deepest_params;
    auto params = parse_json(envelope.params, options);
    if (!params) {
        co_return params.error();
    }
    rpc_message message;
    message.body = std::move(params.value());
    message.payload = std::move(request.payload);
    std::string thrown;
    try {
        auto answer = co_await found->second(std::move(message));
        co_return answer;
    } catch (const std::exception& failed) {
        thrown = failed.what();
    }
    co_return fail(error_kind::internal, envelope.method + " failed: " + thrown);
}

net::awaitable<void> handle(std::shared_ptr<rpc_server::state> server,
                            std::shared_ptr<rpc_session> session, frame request)
{
    auto id = request.id;
    auto answer = co_await dispatch(server, std::move(request));
    frame response;
    response.kind = frame_kind::response;
    response.id = id;
    response.envelope = envelope_of(answer);
    if (answer) {
        response.payload = std::move(answer.value().payload);
    }
    session->writer.send(std::move(response), session);
}

net::awaitable<bool> open(std::shared_ptr<rpc_server::state> server,
                          std::shared_ptr<rpc_session> session)
{
    session->opening.expires_after(opening_timeout);
    session->opening.async_wait(
        [known = std::weak_ptr(session)](boost::system::error_code failed) {
            auto session = known.lock();
            if (!failed && session) {
                boost::system::error_code ignored;
                session->socket.close(ignored);
            }
        });
    bool proved = co_await challenge_peer(session->socket, server->key);
    session->opening.cancel();
    co_return proved;
}

net::awaitable<void> serve(std::shared_ptr<rpc_server::state> server,
                           std::shared_ptr<rpc_session> session)
{
    boost::system::error_code ignored;
    session->socket.set_option(tcp::no_delay(true), ignored);
    if (!co_await open(server, session)) {
        co_return;
    }
    while (!server->stopped) {
        auto request = co_await read_frame(session->socket, rpc_frame_limit);
        if (!request || request.value().kind != frame_kind::request) {
            break;
        }
        net::co_spawn(server->executor,
                      handle(server, session, std::move(request.value())), net::detached);
    }
    session->socket.close(ignored);
}

net::awaitable<void> accept_loop(std::shared_ptr<rpc_server::state> server)
{
    while (!server->stopped) {
        auto [failed, socket] = co_await server->acceptor.async_accept(use_tuple);
        if (failed == net::error::operation_aborted || server->stopped) {
            co_return;
        }
        if (failed) {
            net::steady_timer pause(server->executor);
            pause.expires_after(pause_without_descriptors);
            co_await pause.async_wait(use_tuple);
            continue;
        }
        auto session = std::make_shared<rpc_session>(std::move(socket));
        server->sessions.remove_if([](const auto& old) { return old.expired(); });
        server->sessions.push_back(session);
        net::co_spawn(server->executor, serve(server, session), net::detached);
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
    boost::system::error_code failed;
    acceptor.open(state_->listen.protocol(), failed);
    if (!failed) {
        acceptor.set_option(net::socket_base::reuse_address(true), failed);
    }
    if (!failed) {
        acceptor.bind(state_->listen, failed);
    }
    if (!failed) {
        acceptor.listen(net::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return fail(error_kind::unreachable, "cannot listen on " +
                                                 to_string(state_->listen) + ": " +
                                                 failed.message());
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
        if (auto open = session.lock()) {
            open->socket.close(ignored);
        }
    }
}

tcp::endpoint rpc_server::local_endpoint() const
{
    boost::system::error_code ignored;
    return state_->acceptor.local_endpoint(ignored);
}

} // namespace papayabridge

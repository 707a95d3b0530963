#include "envelope.hpp"
#include "frame.hpp"
#include "net/tcp_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/json.hpp>
#include <papayabridge/log.hpp>
#include <papayabridge/rpc.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr unsigned max_result_depth = 64;
// Covers several round trips between regions. A peer that has lost power does not refuse
// the connection, and TCP repeats a lost SYN only after a second.
constexpr std::chrono::milliseconds connect_timeout{250};
// A connection on which nothing was received for this long is replaced before the next
// call: it may have gone silent without being closed. Longer than a watch waits for news,
// so that watching a keeper keeps one connection.
constexpr std::chrono::milliseconds max_silence{1200};
// If no new connection can be opened, the silent one is used for this long: on an
// overloaded link it may only be slow.
constexpr std::chrono::milliseconds max_fallback_silence{3000};

// A call that waits for its response.
struct pending_call
{
    explicit pending_call(const net::any_io_executor& executor) : done_timer(executor) {}

    /// Expires at the deadline; cancelled when the response arrives or the connection
    /// closes.
    net::steady_timer done_timer;
    std::optional<frame> response;
    bool broken = false;
};

struct open_connection
{
    explicit open_connection(const net::any_io_executor& executor)
        : socket(executor), writer(socket)
    {
    }

    tcp::socket socket;
    frame_writer writer;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending;
    /// Time of the last response, or of the connect.
    time_point last_received = steady_clock::now();
    bool broken = false;
    /// No new call uses it; it closes when its last call ends.
    bool retired = false;
    /// A call ended without a response after the last one received.
    bool owes_response = false;
};

// Parses an error message of the form "kind: detail".
error decode_error(const std::string& message)
{
    auto separator = message.find(": ");
    if (separator == std::string::npos) {
        return fail(error_kind::internal, message);
    }
    return fail(error_kind_of(message.substr(0, separator)),
                message.substr(separator + 2));
}

void close_connection(open_connection& connection)
{
    connection.broken = true;
    boost::system::error_code ignored;
    connection.socket.close(ignored);
    for (auto& [id, call] : connection.pending) {
        call->broken = true;
        call->done_timer.cancel();
    }
    connection.pending.clear();
}

std::chrono::nanoseconds silence_of(const open_connection& connection)
{
    return steady_clock::now() - connection.last_received;
}

void close_if_unused(open_connection& connection)
{
    if (connection.retired && connection.pending.empty()) {
        close_connection(connection);
    }
}

net::awaitable<void> read_responses(std::shared_ptr<open_connection> connection)
{
    while (!connection->broken) {
        auto response = co_await read_frame(connection->socket, rpc_frame_limit);
        if (!response) {
            break;
        }
        connection->last_received = steady_clock::now();
        connection->owes_response = false;
        auto found = connection->pending.find(response.value().id);
        if (found == connection->pending.end()) {
            // The call has already ended at its deadline.
            continue;
        }
        found->second->response = std::move(response.value());
        found->second->done_timer.cancel();
        connection->pending.erase(found);
    }
    close_connection(*connection);
}

} // namespace

struct rpc_client::state
{
    state(net::any_io_executor client_executor, std::shared_ptr<link_table> client_links,
          tcp::endpoint server_endpoint, token_codec fleet_key)
        : executor(std::move(client_executor)), links(std::move(client_links)),
          remote(std::move(server_endpoint)), key(std::move(fleet_key)),
          remote_link(&links->link_to(remote)), connect_timer(executor)
    {
    }

    net::any_io_executor executor;
    std::shared_ptr<link_table> links;
    tcp::endpoint remote;
    token_codec key;
    link* remote_link;
    std::shared_ptr<open_connection> connection;
    /// Limits the time to connect and authenticate.
    net::steady_timer connect_timer;
    /// Calls that wait for the connection, each until its own deadline.
    std::vector<std::shared_ptr<net::steady_timer>> connect_waiters;
    bool connecting = false;
    /// Set by the destructor; a connection being opened is then closed.
    bool closed = false;
    std::uint64_t next_id = 1;
};

namespace {

// Calls that wait on the connection may still be answered: the peer may only be slow.
void retire_connection(rpc_client::state& client)
{
    auto connection = std::exchange(client.connection, nullptr);
    bool owes_answer = connection->owes_response || !connection->pending.empty();
    if (owes_answer && !connection->broken) {
        auto at = to_string(client.remote);
        log_line(log_event::connection_silent,
                 {{"at", at}, {"since_us", log_us(silence_of(*connection))}});
    }
    connection->retired = true;
    close_if_unused(*connection);
}

net::awaitable<void> connect(std::shared_ptr<rpc_client::state> client)
{
    client->connect_timer.expires_after(connect_timeout);
    auto new_connection = std::make_shared<open_connection>(client->executor);
    // Closing the socket ends a connect or handshake that exceeds its time.
    client->connect_timer.async_wait([new_connection](boost::system::error_code ec) {
        if (!ec) {
            close_connection(*new_connection);
        }
    });
    auto [ec] = co_await new_connection->socket.async_connect(client->remote, use_tuple);
    bool authenticated = false;
    if (!ec) {
        set_liveness_options(new_connection->socket);
        authenticated = co_await answer_challenge(new_connection->socket, client->key);
    }
    bool connected = authenticated && !new_connection->broken;
    bool is_replaced =
        client->connection &&
        (connected || silence_of(*client->connection) > max_fallback_silence);
    if (is_replaced) {
        retire_connection(*client);
    }
    if (client->closed) {
        close_connection(*new_connection);
    } else if (connected) {
        client->connection = new_connection;
        net::co_spawn(client->executor, read_responses(new_connection), net::detached);
    }
    client->connecting = false;
    client->connect_timer.cancel();
    for (const auto& waiter : std::exchange(client->connect_waiters, {})) {
        waiter->cancel();
    }
}

net::awaitable<std::shared_ptr<open_connection>>
acquire_connection(std::shared_ptr<rpc_client::state> client, time_point deadline)
{
    bool is_usable = client->connection && !client->connection->broken &&
                     silence_of(*client->connection) <= max_silence;
    // Connecting runs in its own coroutine, so that each call can end at its deadline.
    if (!is_usable && !client->connecting) {
        client->connecting = true;
        net::co_spawn(client->executor, connect(client), net::detached);
    }
    while (client->connecting && steady_clock::now() < deadline) {
        auto waiter = std::make_shared<net::steady_timer>(client->executor);
        client->connect_waiters.push_back(waiter);
        waiter->expires_at(deadline);
        co_await waiter->async_wait(use_tuple);
    }
    if (client->connection && client->connection->broken) {
        client->connection.reset();
    }
    co_return client->connection;
}

result<rpc_message> decode_response(frame response)
{
    auto decoded = decode_rpc_response(response.envelope);
    if (!decoded.ok) {
        return decode_error(decoded.message);
    }
    json_options options;
    options.max_depth = max_result_depth;
    rpc_message message;
    if (decoded.result != "null") {
        auto body = parse_json(decoded.result, options);
        if (!body) {
            return body.error();
        }
        message.body = std::move(body.value());
    }
    message.payload = std::move(response.payload);
    return message;
}

} // namespace

rpc_client::rpc_client(net::any_io_executor executor, std::shared_ptr<link_table> links,
                       tcp::endpoint remote, token_codec fleet_key)
    : state_(std::make_shared<state>(std::move(executor), std::move(links),
                                     std::move(remote), std::move(fleet_key)))
{
}

rpc_client::~rpc_client()
{
    state_->closed = true;
    if (state_->connection) {
        close_connection(*state_->connection);
    }
}

const tcp::endpoint& rpc_client::remote_endpoint() const noexcept
{
    return state_->remote;
}

net::awaitable<result<rpc_message>> rpc_client::call(std::string method,
                                                     rpc_message message,
                                                     time_point deadline,
                                                     traffic_cause cause)
{
    auto client = state_;
    frame request;
    request.envelope = encode_rpc_request(method, to_json(message.body));
    request.payload = std::move(message.payload);
    if (!co_await client->links->pace_send(*client->remote_link, cause, request.size(),
                                           deadline))
    {
        co_return fail(error_kind::unreachable,
                       "cannot send before the deadline to " + to_string(client->remote));
    }
    auto connection = co_await acquire_connection(client, deadline);
    if (!connection) {
        co_return fail(error_kind::unreachable,
                       "cannot connect to " + to_string(client->remote));
    }
    auto call = std::make_shared<pending_call>(client->executor);
    request.id = client->next_id++;
    auto id = request.id;
    connection->pending[id] = call;
    call->done_timer.expires_at(deadline);
    connection->writer.send(std::move(request), connection);
    if (!call->response && !call->broken) {
        co_await call->done_timer.async_wait(use_tuple);
    }
    connection->pending.erase(id);
    connection->owes_response = connection->owes_response || !call->response;
    close_if_unused(*connection);
    if (!call->response) {
        co_return fail(error_kind::outcome_unknown,
                       "no answer from " + to_string(client->remote) + " to " + method);
    }
    if (!co_await client->links->pace_receive(*client->remote_link, cause,
                                              call->response->size(), deadline))
    {
        co_return fail(error_kind::outcome_unknown,
                       "no answer from " + to_string(client->remote) + " to " + method);
    }
    co_return decode_response(std::move(*call->response));
}

rpc_clients::rpc_clients(net::any_io_executor executor, std::shared_ptr<link_table> links,
                         token_codec fleet_key)
    : executor_(std::move(executor)), links_(std::move(links)),
      fleet_key_(std::move(fleet_key))
{
}

rpc_client& rpc_clients::client_to(const tcp::endpoint& remote)
{
    auto& client = clients_[remote];
    if (!client) {
        client = std::make_unique<rpc_client>(executor_, links_, remote, fleet_key_);
    }
    return *client;
}

} // namespace papayabridge

#include "envelope.hpp"
#include "frame.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/json.hpp>
#include <papayabridge/rpc.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr unsigned deepest_result = 64;
// Several round trips between regions. A peer without power does not refuse, and the
// opening packet would be sent again only after a second.
constexpr std::chrono::milliseconds connect_timeout{250};
// A connection on which calls wait is given up if it is silent for so long.
constexpr std::chrono::milliseconds longest_silence{3000};

// One call that waits for its answer; the timer is cancelled when it comes.
struct pending_call
{
    explicit pending_call(const net::any_io_executor& executor) : done(executor) {}

    net::steady_timer done;
    std::optional<frame> answer;
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
    /// Since when the peer has been silent though a call waits; nothing if none does.
    std::optional<time_point> silent_since;
    bool broken = false;
};

// Reads "kind: detail" back into an error.
error error_of(const std::string& message)
{
    auto colon = message.find(": ");
    if (colon == std::string::npos) {
        return fail(error_kind::internal, message);
    }
    return fail(error_kind_of(message.substr(0, colon)), message.substr(colon + 2));
}

void break_off(open_connection& connection)
{
    connection.broken = true;
    boost::system::error_code ignored;
    connection.socket.close(ignored);
    for (auto& [id, call] : connection.pending) {
        call->broken = true;
        call->done.cancel();
    }
    connection.pending.clear();
}

bool was_silent_too_long(const open_connection& connection)
{
    return connection.silent_since &&
           steady_clock::now() - *connection.silent_since > longest_silence;
}

net::awaitable<void> read_answers(std::shared_ptr<open_connection> connection)
{
    while (!connection->broken) {
        auto answer = co_await read_frame(connection->socket, rpc_frame_limit);
        if (!answer) {
            break;
        }
        connection->silent_since.reset();
        auto found = connection->pending.find(answer.value().id);
        if (found == connection->pending.end()) {
            // Late: the caller no longer waits.
            continue;
        }
        found->second->answer = std::move(answer.value());
        found->second->done.cancel();
        connection->pending.erase(found);
    }
    break_off(*connection);
}

} // namespace

struct rpc_client::state
{
    state(net::any_io_executor on, std::shared_ptr<link_table> table, tcp::endpoint to,
          token_codec fleet)
        : executor(std::move(on)), links(std::move(table)), remote(std::move(to)),
          key(std::move(fleet)), way(&links->link_to(remote)), opening(executor)
    {
    }

    net::any_io_executor executor;
    std::shared_ptr<link_table> links;
    tcp::endpoint remote;
    token_codec key;
    link* way;
    std::shared_ptr<open_connection> connection;
    /// Ends an opening that hangs.
    net::steady_timer opening;
    /// Callers that wait for the opening; each ends at its own deadline.
    std::vector<std::shared_ptr<net::steady_timer>> waiting;
    bool connecting = false;
    /// The client was destroyed.
    bool closed = false;
    std::uint64_t next_id = 1;
};

namespace {

net::awaitable<void> open(std::shared_ptr<rpc_client::state> client)
{
    client->opening.expires_after(connect_timeout);
    auto fresh = std::make_shared<open_connection>(client->executor);
    // A connect or challenge that hangs is ended by closing the socket.
    client->opening.async_wait([fresh](boost::system::error_code failed) {
        if (!failed) {
            break_off(*fresh);
        }
    });
    auto [failed] = co_await fresh->socket.async_connect(client->remote, use_tuple);
    bool proved = false;
    if (!failed) {
        boost::system::error_code ignored;
        fresh->socket.set_option(tcp::no_delay(true), ignored);
        proved = co_await answer_challenge(fresh->socket, client->key);
    }
    if (client->closed) {
        break_off(*fresh);
    } else if (proved && !fresh->broken) {
        client->connection = fresh;
        net::co_spawn(client->executor, read_answers(fresh), net::detached);
    }
    client->connecting = false;
    client->opening.cancel();
    for (const auto& waiting : std::exchange(client->waiting, {})) {
        waiting->cancel();
    }
}

net::awaitable<std::shared_ptr<open_connection>>
connection_of(std::shared_ptr<rpc_client::state> client, time_point deadline)
{
    if (client->connection && client->connection->broken) {
        client->connection.reset();
    }
    // Opening goes on by itself, so that a caller leaves at its own deadline.
    if (!client->connection && !client->connecting) {
        client->connecting = true;
        net::co_spawn(client->executor, open(client), net::detached);
    }
    while (client->connecting && steady_clock::now() < deadline) {
        auto woken = std::make_shared<net::steady_timer>(client->executor);
        client->waiting.push_back(woken);
        woken->expires_at(deadline);
        co_await woken->async_wait(use_tuple);
    }
    co_return client->connection;
}

result<rpc_message> read_answer(frame answer)
{
    auto outcome = decode_rpc_response(answer.envelope);
    if (!outcome.ok) {
        return error_of(outcome.message);
    }
    json_options options;
    options.max_depth = deepest_result;
    rpc_message message;
    if (outcome.result != "null") {
        auto body = parse_json(outcome.result, options);
        if (!body) {
            return body.error();
        }
        message.body = std::move(body.value());
    }
    message.payload = std::move(answer.payload);
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
        break_off(*state_->connection);
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
    if (!co_await client->links->pace_send(*client->way, cause, request.size(), deadline))
    {
        co_return fail(error_kind::unreachable, "no way to " + to_string(client->remote));
    }
    auto connection = co_await connection_of(client, deadline);
    if (!connection) {
        co_return fail(error_kind::unreachable,
                       "cannot reach " + to_string(client->remote));
    }
    auto call = std::make_shared<pending_call>(client->executor);
    request.id = client->next_id++;
    auto id = request.id;
    connection->pending[id] = call;
    call->done.expires_at(deadline);
    if (!connection->silent_since) {
        connection->silent_since = steady_clock::now();
    }
    connection->writer.send(std::move(request), connection);
    if (!call->answer && !call->broken) {
        co_await call->done.async_wait(use_tuple);
    }
    connection->pending.erase(id);
    if (!call->answer && was_silent_too_long(*connection)) {
        // The peer may have gone without a word; the next call connects again.
        break_off(*connection);
    }
    if (!call->answer) {
        co_return fail(error_kind::outcome_unknown,
                       "no answer from " + to_string(client->remote) + " to " + method);
    }
    if (!co_await client->links->pace_receive(*client->way, cause, call->answer->size(),
                                              deadline))
    {
        co_return fail(error_kind::outcome_unknown,
                       "no answer from " + to_string(client->remote) + " to " + method);
    }
    co_return read_answer(std::move(*call->answer));
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

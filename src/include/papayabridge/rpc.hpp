/// \file rpc.hpp
/// Calls between the system's own processes: JSON-RPC 2.0 envelopes (libjsonrpccpp) in
/// length-prefixed frames on TCP, many calls at a time on one connection.
///
/// Server: construct `rpc_server`, add methods, start. Client: construct `rpc_client`
/// and call; it connects on demand and again after a failure.
///
/// A frame holds an envelope and, beside it, a payload of raw bytes. Each connection
/// begins with a challenge that proves both sides hold the fleet's key.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <papayabridge/error.hpp>
#include <papayabridge/links.hpp>
#include <papayabridge/token.hpp>
#include <string>

namespace papayabridge {

/// Longest envelope or payload of one frame.
inline constexpr std::size_t rpc_frame_limit = 64 * 1024 * 1024;

/// Parameters or result of a call: a JSON object and raw bytes beside it.
struct rpc_message
{
    Json::Value body{Json::objectValue};
    std::string payload;
};

/// Serves one method. Runs on the server's executor.
using rpc_handler = std::function<net::awaitable<result<rpc_message>>(rpc_message)>;

/// Serves methods to the fleet's processes. All handlers run on one executor, which must
/// be that of a single thread.
class rpc_server
{
public:
    rpc_server(net::any_io_executor executor, tcp::endpoint listen,
               token_codec fleet_key);
    ~rpc_server();

    /// Adds \p handler as \p name; call before start().
    void add_method(std::string name, rpc_handler handler);
    result<void> start();
    /// Stops accepting and closes all connections.
    void stop();
    tcp::endpoint local_endpoint() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// Calls methods of one remote process. All use must be on the executor given, which
/// must be that of a single thread.
class rpc_client
{
public:
    rpc_client(net::any_io_executor executor, std::shared_ptr<link_table> links,
               tcp::endpoint remote, token_codec fleet_key);
    ~rpc_client();

    /// Calls \p method. Errors: those of the method; `unreachable` if it was not sent;
    /// `outcome_unknown` if no answer came by \p deadline.
    net::awaitable<result<rpc_message>>
    call(std::string method, rpc_message message, time_point deadline,
         traffic_cause cause = traffic_cause::control);
    const tcp::endpoint& remote_endpoint() const noexcept;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// One client for each remote address, made on first use.
class rpc_clients
{
public:
    rpc_clients(net::any_io_executor executor, std::shared_ptr<link_table> links,
                token_codec fleet_key);

    /// The client for \p remote.
    rpc_client& client_to(const tcp::endpoint& remote);
    const std::shared_ptr<link_table>& links() const noexcept { return links_; }

private:
    net::any_io_executor executor_;
    std::shared_ptr<link_table> links_;
    token_codec fleet_key_;
    std::map<tcp::endpoint, std::unique_ptr<rpc_client>> clients_;
};

} // namespace papayabridge

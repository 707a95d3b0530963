/// \file rpc.hpp
/// RPC between the processes of the fleet: JSON-RPC 2.0 envelopes (libjsonrpccpp) in
/// length-prefixed frames over TCP, with concurrent calls on one connection.
///
/// Server: construct an `rpc_server`, add methods and start it. Client: construct an
/// `rpc_client` and call methods; it connects on demand and reconnects after a failure.
///
/// A frame holds an envelope and a payload of raw bytes. Each connection begins with a
/// challenge by which both sides prove that they hold the fleet's key.

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

/// Maximum size of the envelope and of the payload of a frame, in bytes.
inline constexpr std::size_t rpc_frame_limit = 64 * 1024 * 1024;

/// Parameters or result of a call: a JSON object and a payload of raw bytes.
struct rpc_message
{
    Json::Value body{Json::objectValue};
    std::string payload;
};

/// Handles calls of one method. Runs on the server's executor.
using rpc_handler = std::function<net::awaitable<result<rpc_message>>(rpc_message)>;

/// Serves methods to the processes of the fleet. All handlers run on its executor, which
/// must be single-threaded.
class rpc_server
{
public:
    rpc_server(net::any_io_executor executor, tcp::endpoint listen,
               token_codec fleet_key);
    ~rpc_server();

    /// Adds \p handler for method \p name. Must be called before start().
    void add_method(std::string name, rpc_handler handler);
    result<void> start();
    /// Stops accepting and closes all connections.
    void stop();
    tcp::endpoint local_endpoint() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// Calls methods of a remote process. Must be used only on its executor, which must be
/// single-threaded.
class rpc_client
{
public:
    rpc_client(net::any_io_executor executor, std::shared_ptr<link_table> links,
               tcp::endpoint remote, token_codec fleet_key);
    ~rpc_client();

    /// Calls \p method. Errors: those of the method; `unreachable` if the call was not
    /// sent; `outcome_unknown` if no answer arrived before \p deadline.
    net::awaitable<result<rpc_message>>
    call(std::string method, rpc_message message, time_point deadline,
         traffic_cause cause = traffic_cause::control);
    const tcp::endpoint& remote_endpoint() const noexcept;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// One client for each remote address, created on first use.
class rpc_clients
{
public:
    rpc_clients(net::any_io_executor executor, std::shared_ptr<link_table> links,
                token_codec fleet_key);

    rpc_client& client_to(const tcp::endpoint& remote);
    const std::shared_ptr<link_table>& links() const noexcept { return links_; }

private:
    net::any_io_executor executor_;
    std::shared_ptr<link_table> links_;
    token_codec fleet_key_;
    std::map<tcp::endpoint, std::unique_ptr<rpc_client>> clients_;
};

} // namespace papayabridge

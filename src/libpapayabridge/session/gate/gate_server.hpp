/// \file gate_server.hpp
/// Serves the statements that other entries send to this entry as the gate of a member.

#pragma once

#include "gate_wire.hpp"
#include "session/limits/token_home.hpp"
#include "statement_gate.hpp"

#include <papayabridge/token.hpp>

namespace papayabridge {

/// Options of a gate_server.
struct gate_server_options
{
    tcp::endpoint listen;
    /// The secret that all processes of the fleet share.
    token_codec fleet_key;
    /// Answers requests for tokens; null if this entry is the home of no account. Must
    /// outlive the server.
    token_home* tokens = nullptr;
};

/// Accepts connections of entries and runs their statements through \p gate, which must
/// outlive the object. Must be used on one thread.
class gate_server
{
public:
    gate_server(net::any_io_executor executor, member_access& gate,
                gate_server_options options);
    ~gate_server();
    gate_server(const gate_server&) = delete;
    gate_server& operator=(const gate_server&) = delete;

    result<void> start();
    tcp::endpoint local_endpoint() const;
    /// Refuses new statements as not run. Open transactions continue.
    void stop_accepting_statements();
    /// Rolls back the open transactions.
    void end_transactions();
    /// Must be called regularly. Rolls back transactions that were idle for longer than
    /// \p idle_limit, 0 for no limit, and notices that the process did not run for a
    /// while: requests that arrived meanwhile are then refused as not run, since their
    /// senders have given them up.
    void check(std::chrono::milliseconds idle_limit);

    /// Statements and transactions of other entries in progress.
    std::size_t statements() const;
    std::size_t transactions() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace papayabridge

/// \file gate_link.hpp
/// The connection of an entry to another entry that is a gate.

#pragma once

#include "gate_wire.hpp"

#include <papayabridge/token.hpp>

namespace papayabridge {

struct gate_connection;

/// Sends requests to one gate over one connection, which it opens on demand. Must be used
/// on one thread.
class gate_link
{
public:
    gate_link(net::any_io_executor executor, entry_id gate, tcp::endpoint endpoint,
              token_codec fleet_key);
    ~gate_link();
    gate_link(const gate_link&) = delete;
    gate_link& operator=(const gate_link&) = delete;

    /// Whether statements should go elsewhere, because the gate could not be reached, was
    /// silent or is stopping.
    bool is_avoided() const;
    /// Sends statements elsewhere for a while.
    void avoid(std::chrono::milliseconds time, const std::string& reason);

    /// The outcome of a statement sent to the gate.
    struct reply
    {
        member_outcome outcome;
        /// The gate did not take the statement, which did not run; another gate of the
        /// member can.
        bool gate_failed = false;
    };
    /// Runs \p request at its first member.
    net::awaitable<reply> run(const member_request& request);
    /// Asks the other entry for tokens. Returns one grant a request, or an error at
    /// \p deadline at the latest.
    net::awaitable<result<std::vector<token_grant>>>
    request_tokens(std::vector<token_request> requests, time_point deadline);

    const tcp::endpoint& endpoint() const noexcept;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace papayabridge

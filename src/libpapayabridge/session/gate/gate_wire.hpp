/// \file gate_wire.hpp
/// Messages between an entry and the gate of a member at another entry, as MessagePack in
/// the payload of a frame (rpc/frame.hpp). Requests are answered in any order; a frame's
/// id connects a response to its request.
///
/// Times are relative: a message says how long its sender still waits.

#pragma once

#include "core/accounts/rate_limit.hpp"
#include "session/members/member_access.hpp"

namespace papayabridge {

/// Maximum size of an encoded message, in bytes: an answer's rows and their encoding.
inline constexpr std::size_t gate_message_limit = 20 * 1024 * 1024;

/// What an entry asks of a gate.
enum class gate_call : std::uint8_t
{
    /// Runs a statement by itself, or opens a transaction with it.
    run,
    /// Runs a statement in a transaction that `run` opened.
    run_in_transaction,
    /// Rolls back a transaction. Has no response.
    end_transaction,
    /// Is answered at once, so that a gate that does not run is noticed.
    ping,
    /// Asks the home of accounts for tokens.
    grant_operations,
};

/// A request to a gate. Fields that the call does not use are empty.
struct gate_message
{
    gate_call call = gate_call::ping;
    /// Number of the transaction, chosen by the entry and unique on the connection; 0 for
    /// none.
    std::uint64_t transaction = 0;
    service_name service;
    member_id member;
    /// Left out of the encoding if empty.
    account_name account;
    run_scope scope = run_scope::single;
    unsigned rank = 0;
    bool needs_primary = false;
    bool refuse_if_busy = false;
    std::optional<position> at_least;
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds time_left{0};
    statement stmt;
    session_values session;
    std::optional<prepared_shape> shape;
    bool writes = false;
    /// Of `grant_operations`.
    std::vector<token_request> token_requests;
};

/// A gate's response.
struct gate_response
{
    run_stage stage = run_stage::waiting;
    std::chrono::microseconds waited{0};
    bool is_unservable = false;
    /// Whether the transaction is still open.
    bool is_open = false;
    result<statement_answer> answer = error{};
    /// The answers to `grant_operations`, in the order of the requests.
    std::vector<token_grant> token_grants;
};

std::string encode(const gate_message& message);
std::string encode(const gate_response& response);
/// Errors: `bad_request` with the reason if \p bytes is not a complete message.
result<gate_message> decode_gate_message(std::string_view bytes);
result<gate_response> decode_gate_response(std::string_view bytes);

} // namespace papayabridge

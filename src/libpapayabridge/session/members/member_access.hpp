/// \file member_access.hpp
/// Interface through which statements reach members: over this process's own connections
/// (local_access.hpp), or through the gate of the member at another entry
/// (gate_client.hpp).

#pragma once

#include "core/sessions/session_setup.hpp"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <papayabridge/links.hpp>
#include <papayabridge/statement.hpp>

namespace papayabridge {

/// How a statement runs at a member.
enum class run_scope : std::uint8_t
{
    /// By itself.
    single,
    /// A read in a read-write transaction that is rolled back. Only a primary accepts it.
    read_at_primary,
    /// As the first statement of a read-write transaction.
    begin_read_write,
    /// As the first statement of a read-only transaction.
    begin_read_only,
};

/// A statement with the session state that it needs. The pointers must stay valid until
/// the statement is answered.
struct session_statement
{
    const statement* stmt = nullptr;
    const session_values* session = nullptr;
    /// The shape that must be prepared at the member; empty if the statement executes
    /// none.
    std::optional<prepared_shape> shape;
    bool writes = false;
    /// Time until which an answer is awaited.
    time_point deadline;

    bool commits() const { return stmt->verb == statement_verb::commit; }
};

/// A statement to run at one of several members.
struct member_request
{
    service_name service;
    /// Acceptable members in order of preference.
    std::vector<member_id> members;
    session_statement work;
    run_scope scope = run_scope::single;
    /// The account for which it runs; empty for none.
    account_name account;
    /// Priority of the statement; 0 is the most urgent.
    unsigned rank = 0;
    /// Whether only the primary can run the statement.
    bool needs_primary = false;
    /// The position that the member's log must hold.
    std::optional<position> at_least;
    /// Time until which the statement may wait for the member.
    time_point wait_until;
    /// Whether a refusal without a wait is preferred to a wait, because the sender can
    /// use another member.
    bool refuse_if_busy = false;
};

/// How far a statement got.
enum class run_stage : std::uint8_t
{
    /// It was not sent to a member.
    waiting,
    /// The transaction in which it was to run did not open.
    opening,
    /// It was sent.
    sent,
};

/// An open transaction at a member. Destruction rolls it back in the background.
class member_transaction
{
public:
    virtual ~member_transaction() = default;

    virtual const member_id& member() const = 0;
    /// Runs one statement in the transaction. With an error, or an answer whose phase is
    /// not `in_transaction`, the transaction has ended at the member or is being rolled
    /// back.
    virtual net::awaitable<result<statement_answer>> run(session_statement work) = 0;
    virtual bool is_open() const = 0;
};

/// The outcome of a member_request.
struct member_outcome
{
    run_stage stage = run_stage::waiting;
    /// The member's answer. An error means that there was no answer; its kind tells
    /// whether the statement can have run.
    result<statement_answer> answer = error{};
    /// The member that was tried last; empty if none was.
    member_id member;
    /// Time spent without a member connection.
    std::chrono::nanoseconds waited{0};
    /// The opened transaction, if there was to be one.
    std::unique_ptr<member_transaction> transaction;
    /// No further attempt can succeed in time.
    bool is_unservable = false;
};

/// Runs statements at members.
class member_access
{
public:
    virtual ~member_access() = default;

    /// Runs \p request at one of its members. Does not retry what a member refused.
    virtual net::awaitable<member_outcome> run(member_request request) = 0;
};

/// An outcome without an answer.
inline member_outcome failed_outcome(run_stage stage, error why, member_id member = {})
{
    member_outcome outcome;
    outcome.stage = stage;
    outcome.answer = std::move(why);
    outcome.member = std::move(member);
    return outcome;
}

} // namespace papayabridge

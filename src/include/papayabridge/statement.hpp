/// \file statement.hpp
/// Statements of callers on long connections, and what members answer to them.
///
/// A caller opens a session on a database and sends one statement at a time. The codecs
/// (statement_codec.hpp) turn bytes into these types and back; everything between works
/// on the types alone.

#pragma once

#include <optional>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <string>
#include <variant>
#include <vector>

namespace papayabridge {

/// What a statement asks for.
enum class statement_verb
{
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,     ///< Sets a session value.
    prepare,       ///< Names a statement shape for this session.
    execute,       ///< Runs a prepared name.
    drop_prepared, ///< Forgets a prepared name.
};

/// The shape behind a prepared name.
struct prepared_shape
{
    bool writes = false;
    std::string shape;

    friend auto operator<=>(const prepared_shape&, const prepared_shape&) = default;
};

/// One statement as a caller sent it.
struct statement
{
    request_id id;
    /// All of the statement, forwarded unchanged.
    std::string text;
    statement_verb verb = statement_verb::read;
    /// Of a session value or a prepared statement.
    std::string name;
    /// The data of a session value.
    std::string value;
    /// What `prepare` names.
    prepared_shape prepared;
    /// What follows the name of an `execute`.
    std::string arguments;
};

/// Where a session or a member connection stands between two statements.
enum class session_phase
{
    idle,
    in_transaction,
    failed, ///< The transaction failed and waits to be ended.
};

/// A whole answer to one statement.
struct statement_answer
{
    std::vector<std::string> rows;
    /// The member's proof that it ran the statement; empty if it was answered here.
    std::string receipt;
    std::optional<error> failure;
    session_phase phase = session_phase::idle;
    /// How far the member's log reached; nothing if no member was asked.
    std::optional<position> log_position;
};

/// What a member says of its part in replication.
struct member_status
{
    bool is_primary = false;
    /// The newest term that it knows.
    papayabridge::term term;
    /// How far it received the log.
    position received;
    /// The term below which it does not receive; 0 if it receives.
    papayabridge::term stopped_below;
};

} // namespace papayabridge

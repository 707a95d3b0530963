/// \file statement.hpp
/// Statements that callers send on persistent connections, and the answers of members.
///
/// A caller opens a session on a database and sends one statement at a time. The codecs
/// (statement_codec.hpp) convert between bytes and these types; the code in between uses
/// only the types.

#pragma once

#include <optional>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <string>
#include <variant>
#include <vector>

namespace papayabridge {

/// The operation of a statement.
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
    execute,       ///< Runs a prepared statement.
    drop_prepared, ///< Deallocates a prepared statement.
};

/// The shape (template) of a prepared statement, and whether it writes.
struct prepared_shape
{
    bool writes = false;
    std::string shape;

    friend auto operator<=>(const prepared_shape&, const prepared_shape&) = default;
};

/// A statement as sent by a caller.
struct statement
{
    request_id id;
    /// The complete text, forwarded unchanged.
    std::string text;
    statement_verb verb = statement_verb::read;
    /// Name of the session value or prepared statement.
    std::string name;
    /// The data of a session value.
    std::string value;
    /// The shape that `prepare` defines.
    prepared_shape prepared;
    /// The arguments of an `execute`.
    std::string arguments;
};

/// State of a session or member connection between two statements.
enum class session_phase
{
    idle,
    in_transaction,
    failed, ///< The transaction failed and must be ended.
};

/// The complete answer to a statement.
struct statement_answer
{
    std::vector<std::string> rows;
    /// The member's proof that it ran the statement; empty if the entry answered itself.
    std::string receipt;
    std::optional<error> failure;
    session_phase phase = session_phase::idle;
    /// The position of the member's log; nothing if no member was asked.
    std::optional<position> log_position;
};

/// Replication status reported by a member.
struct member_status
{
    bool is_primary = false;
    /// The highest term known to it.
    papayabridge::term term;
    /// The last log position it received.
    position received;
    /// It does not receive the log of terms below this one; 0 if it receives all.
    papayabridge::term stopped_below;
};

} // namespace papayabridge

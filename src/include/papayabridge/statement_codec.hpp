/// \file statement_codec.hpp
/// Encoding of statements and answers on connections to callers and to members.
///
/// decode() removes one message from the front of its input. It returns nothing if more
/// bytes are needed, and an error if the input is malformed; the connection must then be
/// closed.

#pragma once

#include <papayabridge/access_key.hpp>
#include <papayabridge/statement.hpp>
#include <string_view>

namespace papayabridge {

/// Maximum size of a message on a statement connection, in bytes.
inline constexpr std::size_t statement_message_limit = 1024 * 1024;

/// A caller opens its session.
struct session_opening
{
    database_name database;
    access_key_digest key;
};

/// A caller ends its session.
struct session_closing
{
};

/// A statement that could not be parsed. The session can continue.
struct unknown_statement
{
    request_id id;
    std::string problem;
};

using caller_message =
    std::variant<session_opening, statement, unknown_statement, session_closing>;

/// Codec of connections from callers.
class caller_codec
{
public:
    virtual ~caller_codec() = default;

    virtual result<std::optional<caller_message>>
    decode(std::string_view& input) const = 0;
    /// Whether a message may be complete once \p added was appended to the input. Lets
    /// the reader decode a message that arrives in small pieces once instead of at each.
    virtual bool may_end_message(std::string_view added) const = 0;
    /// Confirms that the session is open.
    virtual void encode_opened(std::string& out) const = 0;
    /// Refuses the session; the connection must then be closed.
    virtual void encode_refusal(std::string& out, const error& why) const = 0;
    virtual void encode_answer(std::string& out,
                               const statement_answer& answer) const = 0;
};

/// A row of an answer.
struct answer_row
{
    std::string text;
};

/// The statement succeeded.
struct answer_complete
{
    std::string receipt;
};

/// The statement, or the opening of the connection, failed.
struct answer_failure
{
    error cause;
};

/// The answer is complete.
struct answer_end
{
    session_phase phase = session_phase::idle;
    std::optional<position> log_position;
};

using member_message =
    std::variant<answer_row, answer_complete, answer_failure, answer_end>;

/// Codec of connections to members. Each encode function appends one message.
class member_codec
{
public:
    virtual ~member_codec() = default;

    virtual result<std::optional<member_message>>
    decode(std::string_view& input) const = 0;
    virtual result<member_status> decode_status(std::string_view row) const = 0;

    /// Opens a connection to member \p id; a member with another id refuses it. All
    /// statements on it run for \p account; empty for this process.
    virtual void encode_opening(std::string& out, const service_name& service,
                                const member_id& id,
                                const account_name& account) const = 0;
    /// Clears all session values and prepared statements of the connection.
    virtual void encode_reset(std::string& out) const = 0;
    virtual void encode_value(std::string& out, const std::string& name,
                              const std::string& value) const = 0;
    virtual void encode_prepare(std::string& out, const std::string& name,
                                const prepared_shape& shape) const = 0;
    /// With \p at_least the member refuses unless its log has reached that position.
    virtual void encode_begin(std::string& out, bool read_only,
                              std::optional<position> at_least) const = 0;
    virtual void encode_rollback(std::string& out) const = 0;
    /// Encodes a read, write, commit or execute. \p prepared_name replaces the name of an
    /// `execute`; empty for others.
    virtual void encode_statement(std::string& out, const statement& sent,
                                  const std::string& prepared_name,
                                  std::optional<position> at_least) const = 0;
    virtual void encode_status(std::string& out) const = 0;
    /// Makes a replica stop receiving until it is resumed, promoted or restarted.
    virtual void encode_stop_receiving(std::string& out, term above_newest) const = 0;
    virtual void encode_resume_receiving(std::string& out) const = 0;
    /// Makes a primary of a term below \p above_newest a replica.
    virtual void encode_step_down(std::string& out, term above_newest) const = 0;
};

} // namespace papayabridge

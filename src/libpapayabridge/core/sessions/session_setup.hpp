/// \file session_setup.hpp
/// Session state of a member connection, and the messages that prepare the connection for
/// a statement of a session.

#pragma once

#include <cstddef>
#include <map>
#include <papayabridge/statement.hpp>

namespace papayabridge {

/// Values and prepared statements that a caller has set for its session.
struct session_values
{
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_shape> prepared;
};

/// Session values and prepared statements on a member connection.
struct connection_contents
{
    std::map<std::string, std::string> values;
    /// The name at the member of each prepared shape.
    std::map<prepared_shape, std::string> prepared;
    /// Number of names used on this connection so far.
    unsigned names_assigned = 0;
    /// Sizes of the values and of the prepared shapes, with the names of the values.
    std::size_t value_bytes = 0;
    std::size_t shape_bytes = 0;
};

/// Messages to send before a statement, in the order of the fields.
struct connection_setup
{
    bool reset = false;
    std::vector<std::pair<std::string, std::string>> values;
    /// The shape to prepare, if it is not prepared yet.
    std::optional<prepared_shape> prepare;
    /// The name of the statement's shape at the member; empty if it needs none.
    std::string prepared_name;
    /// The contents of the connection after all messages succeeded.
    connection_contents resulting_contents;

    /// Number of answers to expect before that of the statement.
    std::size_t setup_answer_count() const noexcept
    {
        return (reset ? 1U : 0U) + values.size() + (prepare ? 1U : 0U);
    }
};

/// Plans the messages that bring a connection with contents \p current to the values of
/// \p session, with \p needed prepared if it is set.
connection_setup plan_connection_setup(const connection_contents& current,
                                       const session_values& session,
                                       const std::optional<prepared_shape>& needed);

/// Whether the connection has exactly the values of \p session, so that at most a shape
/// must be prepared.
bool session_values_match(const connection_contents& current,
                          const session_values& session);

} // namespace papayabridge

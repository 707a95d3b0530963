/// \file session_setup.hpp
/// What a member connection holds of sessions, and what must be sent to it before a
/// session's statement may run there.

#pragma once

#include <map>
#include <papayabridge/statement.hpp>

namespace papayabridge {

/// What a caller set for its session.
struct session_values
{
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_shape> prepared;
};

/// What a member connection holds.
struct connection_contents
{
    std::map<std::string, std::string> values;
    /// Name at the member of each shape that was prepared there.
    std::map<prepared_shape, std::string> prepared;
    /// Names given out on this connection.
    unsigned names_assigned = 0;
};

/// What to send before a statement, in this order.
struct connection_setup
{
    bool reset = false;
    std::vector<std::pair<std::string, std::string>> values;
    /// Set if a shape must be prepared first.
    std::optional<prepared_shape> prepare;
    /// The name of the statement's shape at the member; empty if it needs none.
    std::string prepared_name;
    /// What the connection holds after all of it succeeded.
    connection_contents resulting_contents;

    /// Answers that come before that of the statement.
    std::size_t setup_answer_count() const noexcept
    {
        return (reset ? 1U : 0U) + values.size() + (prepare ? 1U : 0U);
    }
};

/// Plans how a connection with \p held comes to the state of \p session, with \p needed
/// prepared if it is set.
connection_setup plan_connection_setup(const connection_contents& held,
                                       const session_values& session,
                                       const std::optional<prepared_shape>& needed);

/// Whether nothing but a shape would have to be sent.
bool session_values_match(const connection_contents& held, const session_values& session);

} // namespace papayabridge

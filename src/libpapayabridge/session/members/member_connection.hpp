/// \file member_connection.hpp
/// A connection to a member. Statements are sent and whole answers are read in order.

#pragma once

#include "core/sessions/session_setup.hpp"
#include "net/deadline_socket.hpp"

#include <papayabridge/statement_codec.hpp>

namespace papayabridge {

/// The member that a connection is opened to.
struct member_address
{
    tcp::endpoint endpoint;
    service_name service;
    member_id id;
    /// The account for which its statements run; empty for none.
    account_name account;
};

/// A connection with an open session. Not thread-safe. Unusable after any error.
class member_connection
{
public:
    /// Connects and opens a session. Errors: `unreachable`, also if another member
    /// answers; `overloaded` if the member accepts no more connections. Sets \p refused,
    /// if given, to whether the host refused the connection because no process listens
    /// there.
    static net::awaitable<result<std::unique_ptr<member_connection>>>
    open(net::any_io_executor executor, const member_codec& codec, member_address address,
         time_point deadline, bool* refused = nullptr);

    /// Sends \p bytes. `unreachable` if the connection failed before any byte was sent;
    /// otherwise an error is `outcome_unknown`.
    net::awaitable<result<void>> send(std::string bytes, time_point deadline);
    /// Reads one whole answer. Every error is `outcome_unknown`.
    net::awaitable<result<statement_answer>> receive(time_point deadline);

    /// Whether the peer has neither closed the connection nor sent unexpected bytes.
    bool is_reusable();
    void close() { socket_.close(); }

    const member_address& address() const noexcept { return address_; }
    connection_contents contents;
    /// When the connection was last returned to the pool.
    time_point idle_since;

private:
    member_connection(net::any_io_executor executor, const member_codec& codec,
                      member_address address);

    net::awaitable<result<void>> start_session(time_point deadline);
    net::awaitable<result<member_message>> read_message();

    deadline_socket socket_;
    const member_codec& codec_;
    member_address address_;
    std::string input_;
    std::size_t consumed_ = 0;
};

} // namespace papayabridge

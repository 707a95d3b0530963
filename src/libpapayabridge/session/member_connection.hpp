/// \file member_connection.hpp
/// One connection to a member: statements out, whole answers in, in order.

#pragma once

#include "core/session_setup.hpp"
#include "net/deadline_socket.hpp"

#include <papayabridge/statement_codec.hpp>

namespace papayabridge {

/// Where a connection leads.
struct member_address
{
    tcp::endpoint endpoint;
    service_name service;
    member_id id;
};

/// Not thread-safe. Any error leaves the connection unusable.
class member_connection
{
public:
    /// Connects and opens a session. Errors: `unreachable`, `overloaded` where the
    /// member takes no more connections, `not_found` where another member answers. Sets
    /// \p is_stopped, if given, to whether no process listens there.
    static net::awaitable<result<std::unique_ptr<member_connection>>>
    open(net::any_io_executor executor, const member_codec& codec, member_address address,
         time_point deadline, bool* is_stopped = nullptr);

    /// Sends \p bytes. `unreachable` if the peer had closed the connection before.
    net::awaitable<result<void>> send(std::string bytes, time_point deadline);
    /// Reads one whole answer. `outcome_unknown` if it does not come.
    net::awaitable<result<statement_answer>> receive(time_point deadline);

    /// Whether the peer has neither closed nor sent anything unasked.
    bool is_quiet();
    void close() { socket_.close(); }

    const member_address& address() const noexcept { return address_; }
    connection_contents contents;
    /// When it was last given back.
    time_point idle_since;

private:
    member_connection(net::any_io_executor executor, const member_codec& codec,
                      member_address address);

    net::awaitable<result<void>> start_session(time_point deadline);
    net::awaitable<result<member_message>> next_message();

    deadline_socket socket_;
    const member_codec& codec_;
    member_address address_;
    std::string input_;
    std::size_t consumed_ = 0;
};

/// Sets what every statement connection needs: no delay of small messages, and an end to
/// connections whose peer is gone without a word.
void set_statement_options(tcp::socket& socket);

} // namespace papayabridge

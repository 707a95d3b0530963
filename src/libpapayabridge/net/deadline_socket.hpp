/// \file deadline_socket.hpp
/// A TCP socket that closes once a deadline passes, so that pending operations end.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <papayabridge/links.hpp>

namespace papayabridge {

/// Owns a socket and one timer. Moving the deadline to a later time costs no timer
/// operation. Used on one thread.
class deadline_socket
{
public:
    explicit deadline_socket(const net::any_io_executor& executor);
    ~deadline_socket();
    deadline_socket(deadline_socket&&) noexcept = default;
    deadline_socket& operator=(deadline_socket&&) = delete;

    tcp::socket& socket() noexcept;
    /// The socket closes at \p deadline.
    void expires_at(time_point deadline);
    /// No deadline applies, until the next is set.
    void expires_never() noexcept;
    /// Closes the socket; pending operations end with an error.
    void close();

private:
    struct state;

    static void arm(const std::shared_ptr<state>& watched);

    std::shared_ptr<state> state_;
};

} // namespace papayabridge

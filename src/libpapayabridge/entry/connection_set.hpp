/// \file connection_set.hpp
/// The connections of one gate to its member. Their number never exceeds what the member
/// accepts, and a minimum number is kept open in advance.

#pragma once

#include "change_notifier.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <papayabridge/http.hpp>
#include <vector>

namespace papayabridge {

/// A bounded pool of connections to one member. Not thread-safe.
class connection_set : public std::enable_shared_from_this<connection_set>
{
public:
    connection_set(net::any_io_executor executor, std::shared_ptr<link_table> links,
                   tcp::endpoint remote, std::size_t max_open, std::size_t warm_target);

    /// Returns an idle connection or opens a new one. Waits while all are in use.
    net::awaitable<result<std::unique_ptr<http_connection>>> acquire(time_point deadline);
    /// Returns a connection to the pool. One that cannot be reused is closed; null stands
    /// for a connection that is already gone.
    void release(std::unique_ptr<http_connection> connection);
    /// Opens connections in the background until the minimum number is open.
    void warm_up();
    /// Closes the idle connections now and the others when they are released.
    void close();
    /// Allows connections again after close().
    void reopen() { closed_ = false; }
    std::size_t open_count() const noexcept { return open_count_; }

private:
    net::awaitable<void> open_warm_connections();
    net::awaitable<result<std::unique_ptr<http_connection>>> connect(time_point deadline);

    net::any_io_executor executor_;
    std::shared_ptr<link_table> links_;
    tcp::endpoint remote_;
    std::size_t max_open_;
    std::size_t warm_target_;
    std::size_t open_count_ = 0;
    bool closed_ = false;
    bool warming_up_ = false;
    std::vector<std::unique_ptr<http_connection>> idle_;
    change_notifier freed_;
};

} // namespace papayabridge

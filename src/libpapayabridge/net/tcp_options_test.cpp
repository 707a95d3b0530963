#include "net/tcp_options.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayabridge {

namespace {

int option_of(boost::asio::ip::tcp::socket& socket, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    EXPECT_EQ(::getsockopt(socket.native_handle(), level, name, &value, &size), 0);
    return value;
}

} // namespace

// Without them, a keeper holds the connections of machines that lost power for ever.
TEST(tcp_options, a_peer_that_vanished_is_noticed_idle_or_not)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
    set_liveness_options(socket);
    EXPECT_NE(option_of(socket, SOL_SOCKET, SO_KEEPALIVE), 0);
    EXPECT_NE(option_of(socket, IPPROTO_TCP, TCP_NODELAY), 0);
    EXPECT_GT(option_of(socket, IPPROTO_TCP, TCP_USER_TIMEOUT), 0);
    auto noticed_after_s = option_of(socket, IPPROTO_TCP, TCP_KEEPIDLE) +
                           option_of(socket, IPPROTO_TCP, TCP_KEEPINTVL) *
                               option_of(socket, IPPROTO_TCP, TCP_KEEPCNT);
    EXPECT_LE(noticed_after_s, 15);
}

} // namespace papayabridge

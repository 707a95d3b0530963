#include "tcp_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayabridge {

namespace {

using boost::asio::ip::tcp;

// An idle peer is probed after keepalive_idle_s and then every keepalive_interval_s until
// it is given up.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_probes = 3;
// Unacknowledged data closes the connection after this time.
constexpr unsigned user_timeout_ms = 4000;

template <class Value>
void set_tcp_option(tcp::socket& socket, int name, Value value)
{
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
}

} // namespace

void set_liveness_options(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    set_tcp_option(socket, TCP_KEEPIDLE, keepalive_idle_s);
    set_tcp_option(socket, TCP_KEEPINTVL, keepalive_interval_s);
    set_tcp_option(socket, TCP_KEEPCNT, keepalive_probes);
    set_tcp_option(socket, TCP_USER_TIMEOUT, user_timeout_ms);
}

} // namespace papayabridge

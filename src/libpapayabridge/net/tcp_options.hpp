/// \file tcp_options.hpp
/// Options of TCP connections.

#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace papayabridge {

/// Disables Nagle's algorithm and enables keepalive and a user timeout, so that a
/// connection to a peer that vanished ends. Options that the system refuses are left out.
void set_liveness_options(boost::asio::ip::tcp::socket& socket);

} // namespace papayabridge

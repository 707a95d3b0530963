/// \file reserved_endpoint.hpp
/// For tests: a loopback address where nobody listens until the test does.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace papayabridge {

/// Holds an address, so that neither this process nor another one is given it. Connecting
/// to it is refused until a server that reuses addresses listens there.
class reserved_endpoint
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit reserved_endpoint(boost::asio::io_context& context) : holder_(context)
    {
        holder_.open(tcp::v4());
        holder_.set_option(tcp::acceptor::reuse_address(true));
        holder_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    }

    tcp::endpoint endpoint() const { return holder_.local_endpoint(); }

private:
    // Bound, but never listening.
    tcp::acceptor holder_;
};

} // namespace papayabridge

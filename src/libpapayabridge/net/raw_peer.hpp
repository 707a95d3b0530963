/// \file raw_peer.hpp
/// For tests: a blocking TCP peer that sends any bytes, with bounded waits.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <poll.h>
#include <string>
#include <string_view>

namespace papayabridge {

/// One blocking client connection of a test.
class raw_peer
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit raw_peer(const tcp::endpoint& remote) : socket_(context_)
    {
        socket_.connect(remote);
    }

    /// Sends \p text; false if the peer has closed.
    bool send(std::string_view text)
    {
        boost::system::error_code failed;
        boost::asio::write(socket_, boost::asio::buffer(text.data(), text.size()),
                           failed);
        return !failed;
    }

    /// Sends \p text byte by byte with \p pause between; false if the peer has closed.
    bool send_slowly(std::string_view text, std::chrono::milliseconds pause)
    {
        for (char byte : text) {
            if (closed_within(pause) || !send({&byte, 1})) {
                return false;
            }
        }
        return true;
    }

    /// Whether the peer closes within \p wait. What it sends is kept.
    bool closed_within(std::chrono::milliseconds wait)
    {
        return !readable(wait) ? false : !take();
    }

    /// Reads until \p mark stands in what was received, or the peer closes, or the
    /// bounded wait ends; returns all received.
    const std::string& receive_until(std::string_view mark)
    {
        while (received_.find(mark) == std::string::npos && readable(longest_wait) &&
               take()) {
        }
        return received_;
    }

    /// Reads until the peer closes; false if it does not within the bounded wait.
    bool receive_to_end()
    {
        while (readable(longest_wait)) {
            if (!take()) {
                return true;
            }
        }
        return false;
    }

    const std::string& received() const { return received_; }
    void forget() { received_.clear(); }
    tcp::socket& socket() { return socket_; }

private:
    static constexpr std::chrono::milliseconds longest_wait{20000};

    bool readable(std::chrono::milliseconds wait)
    {
        pollfd waiting{socket_.native_handle(), POLLIN, 0};
        return ::poll(&waiting, 1, static_cast<int>(wait.count())) > 0;
    }

    // False at the end of the stream.
    bool take()
    {
        std::string piece(64 * 1024, '\0');
        boost::system::error_code failed;
        auto count = socket_.read_some(boost::asio::buffer(piece), failed);
        received_.append(piece, 0, count);
        return !failed;
    }

    boost::asio::io_context context_;
    tcp::socket socket_;
    std::string received_;
};

} // namespace papayabridge

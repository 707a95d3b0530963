/// \file frame.hpp
/// Length-prefixed frames and the authentication handshake on TCP connections between the
/// system's processes.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <papayabridge/error.hpp>
#include <papayabridge/links.hpp>
#include <papayabridge/token.hpp>
#include <string>

namespace papayabridge {

/// Type of a frame: two for the handshake, two for calls.
enum class frame_kind : std::uint8_t
{
    challenge,
    proof,
    request,
    response
};

/// A frame. Layout on the wire: kind (1 byte), id (8), clock (8), envelope length (4),
/// payload length (4), envelope, payload. Integers are in network byte order.
struct frame
{
    frame_kind kind = frame_kind::request;
    /// A response has the id of its request.
    std::uint64_t id = 0;
    /// Hybrid logical clock of the sender; set when the frame is sent.
    std::uint64_t clock = 0;
    /// JSON-RPC request or response; in the client's proof, the nonce for the server.
    std::string envelope;
    /// Raw bytes beside the envelope; in the handshake, the nonce or the signature.
    std::string payload;

    /// Number of bytes on the wire.
    std::size_t size() const noexcept;
};

/// Serializes \p message for the wire.
std::string encode_frame(const frame& message);

/// Reads one frame. Fails with `bad_request` if its envelope or payload exceeds
/// \p max_part_bytes or its kind is unknown, and with `unreachable` if the connection
/// ends. Advances this process's hybrid logical clock past the sender's.
net::awaitable<result<frame>> read_frame(tcp::socket& socket, std::size_t max_part_bytes);

/// Queues frames and writes them in order, so that senders never block. Closes the socket
/// if a write fails or if a frame would raise the bytes queued for a slow peer above
/// 16 MiB.
class frame_writer
{
public:
    explicit frame_writer(tcp::socket& socket) : socket_(&socket) {}

    /// Queues \p message. \p owner is the object that holds the socket and this writer;
    /// it is kept alive until the queue is written.
    void send(frame message, std::shared_ptr<void> owner);

private:
    net::awaitable<void> write_queued_frames(std::shared_ptr<void> owner);

    tcp::socket* socket_;
    std::deque<std::string> queue_;
    std::size_t queued_bytes_ = 0;
    bool writing_ = false;
};

/// Runs the server's side of the handshake, in which each side proves that it holds
/// \p key. Returns whether the peer did.
net::awaitable<bool> challenge_peer(tcp::socket& socket, const token_codec& key);
/// Runs the client's side of the handshake. Returns whether the server holds \p key.
net::awaitable<bool> answer_challenge(tcp::socket& socket, const token_codec& key);

} // namespace papayabridge

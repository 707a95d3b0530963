#include "frame.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <openssl/rand.h>
#include <papayabridge/events.hpp>
#include <papayabridge/rpc.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::size_t id_offset = 1;
constexpr std::size_t clock_offset = 9;
constexpr std::size_t envelope_size_offset = 17;
constexpr std::size_t payload_size_offset = 21;
constexpr std::size_t header_bytes = 25;
constexpr std::size_t nonce_bytes = 32;
// Limit for each part of a frame while the peer is not authenticated.
constexpr std::size_t max_handshake_part_bytes = 256;
// Unsent bytes per connection after which the peer counts as not reading.
constexpr std::size_t max_queued_bytes = 16 * 1024 * 1024;
// Signed with the nonce, so that a proof cannot be reflected to the side that sent it.
constexpr std::string_view client_proof_prefix = "client:";
constexpr std::string_view server_proof_prefix = "server:";

unsigned char* as_bytes(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

} // namespace

std::size_t frame::size() const noexcept
{
    return header_bytes + envelope.size() + payload.size();
}

std::string encode_frame(const frame& message)
{
    std::string text(header_bytes, '\0');
    auto* bytes = as_bytes(text);
    bytes[0] = static_cast<unsigned char>(message.kind);
    boost::endian::store_big_u64(bytes + id_offset, message.id);
    boost::endian::store_big_u64(bytes + clock_offset, message.clock);
    boost::endian::store_big_u32(bytes + envelope_size_offset,
                                 static_cast<std::uint32_t>(message.envelope.size()));
    boost::endian::store_big_u32(bytes + payload_size_offset,
                                 static_cast<std::uint32_t>(message.payload.size()));
    text += message.envelope;
    text += message.payload;
    return text;
}

net::awaitable<result<frame>> read_frame(tcp::socket& socket, std::size_t max_part_bytes)
{
    std::array<unsigned char, header_bytes> header{};
    auto [ec, count] = co_await net::async_read(socket, net::buffer(header), use_tuple);
    if (ec) {
        co_return fail(error_kind::unreachable,
                       "cannot read the frame header: " + ec.message());
    }
    frame message;
    message.kind = static_cast<frame_kind>(header[0]);
    message.id = boost::endian::load_big_u64(&header[id_offset]);
    message.clock = boost::endian::load_big_u64(&header[clock_offset]);
    auto envelope_bytes = boost::endian::load_big_u32(&header[envelope_size_offset]);
    auto payload_bytes = boost::endian::load_big_u32(&header[payload_size_offset]);
    if (header[0] > static_cast<unsigned char>(frame_kind::response) ||
        envelope_bytes > max_part_bytes || payload_bytes > max_part_bytes)
    {
        co_return fail(error_kind::bad_request,
                       "invalid frame: unknown kind or oversized part");
    }
    message.envelope.resize(envelope_bytes);
    message.payload.resize(payload_bytes);
    std::array<net::mutable_buffer, 2> body{net::buffer(message.envelope),
                                            net::buffer(message.payload)};
    auto [body_ec, body_count] = co_await net::async_read(socket, body, use_tuple);
    if (body_ec) {
        co_return fail(error_kind::unreachable,
                       "cannot read the frame body: " + body_ec.message());
    }
    hybrid_clock::process().observe(message.clock);
    co_return message;
}

void frame_writer::send(frame message, std::shared_ptr<void> owner)
{
    message.clock = hybrid_clock::process().tick();
    auto text = encode_frame(message);
    if (queued_bytes_ > 0 && queued_bytes_ + text.size() > max_queued_bytes) {
        boost::system::error_code ignored;
        socket_->close(ignored);
        return;
    }
    queued_bytes_ += text.size();
    queue_.push_back(std::move(text));
    if (!writing_) {
        writing_ = true;
        net::co_spawn(socket_->get_executor(), write_queued_frames(std::move(owner)),
                      net::detached);
    }
}

net::awaitable<void>
frame_writer::write_queued_frames([[maybe_unused]] std::shared_ptr<void> owner)
{
    while (!queue_.empty()) {
        auto text = std::move(queue_.front());
        queue_.pop_front();
        auto [ec, count] =
            co_await net::async_write(*socket_, net::buffer(text), use_tuple);
        queued_bytes_ -= text.size();
        if (ec) {
            boost::system::error_code ignored;
            socket_->close(ignored);
            queue_.clear();
            queued_bytes_ = 0;
        }
    }
    writing_ = false;
}

namespace {

std::string sign_proof(const token_codec& key, std::string_view prefix,
                       const std::string& nonce)
{
    return key.sign(std::string(prefix) + nonce);
}

bool is_valid_proof(const result<frame>& proof, const token_codec& key,
                    std::string_view prefix, const std::string& nonce)
{
    return proof && proof.value().kind == frame_kind::proof &&
           key.verify(std::string(prefix) + nonce, proof.value().payload);
}

std::string make_nonce()
{
    std::string nonce(nonce_bytes, '\0');
    RAND_bytes(as_bytes(nonce), static_cast<int>(nonce.size()));
    return nonce;
}

net::awaitable<bool> write_frame(tcp::socket& socket, frame message)
{
    message.clock = hybrid_clock::process().tick();
    auto text = encode_frame(message);
    auto [ec, count] = co_await net::async_write(socket, net::buffer(text), use_tuple);
    co_return !ec;
}

} // namespace

net::awaitable<bool> challenge_peer(tcp::socket& socket, const token_codec& key)
{
    frame challenge;
    challenge.kind = frame_kind::challenge;
    challenge.payload = make_nonce();
    if (!co_await write_frame(socket, challenge)) {
        co_return false;
    }
    auto proof = co_await read_frame(socket, max_handshake_part_bytes);
    if (!is_valid_proof(proof, key, client_proof_prefix, challenge.payload)) {
        co_return false;
    }
    frame server_proof;
    server_proof.kind = frame_kind::proof;
    server_proof.payload = sign_proof(key, server_proof_prefix, proof.value().envelope);
    bool sent = co_await write_frame(socket, std::move(server_proof));
    co_return sent;
}

net::awaitable<bool> answer_challenge(tcp::socket& socket, const token_codec& key)
{
    auto challenge = co_await read_frame(socket, max_handshake_part_bytes);
    if (!challenge || challenge.value().kind != frame_kind::challenge) {
        co_return false;
    }
    frame proof;
    proof.kind = frame_kind::proof;
    proof.envelope = make_nonce();
    proof.payload = sign_proof(key, client_proof_prefix, challenge.value().payload);
    if (!co_await write_frame(socket, proof)) {
        co_return false;
    }
    auto server_proof = co_await read_frame(socket, max_handshake_part_bytes);
    co_return is_valid_proof(server_proof, key, server_proof_prefix, proof.envelope);
}

} // namespace papayabridge

/// \file token.hpp
/// Session tokens: held by the caller, authenticated, and valid at any entry.

#pragma once

#include <map>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <string>
#include <string_view>

namespace papayabridge {

/// The highest position that a session has written or read in each database. A member may
/// answer the session once it has reached that position.
class session_watermarks
{
public:
    /// The position that a member of \p database must have reached.
    position required_position(const database_key& database) const;
    /// Raises the watermark of \p database to at least \p reached.
    void advance(const database_key& database, position reached);

    const std::map<database_key, position>& by_database() const noexcept
    {
        return marks_;
    }

private:
    std::map<database_key, position> marks_;
};

/// Encodes and verifies session tokens with a key shared by all entries.
class token_codec
{
public:
    /// \p key is the fleet's secret.
    explicit token_codec(std::string key) : key_(std::move(key)) {}

    /// Encodes the watermarks as an opaque printable token with an HMAC-SHA-256.
    std::string encode(const session_watermarks& marks) const;
    /// Decodes \p token. An empty token is a new session. `bad_token` if it is truncated,
    /// modified or made with another key.
    result<session_watermarks> decode(std::string_view token) const;

    /// Returns a printable HMAC-SHA-256 of \p message, which proves possession of the
    /// key.
    std::string sign(std::string_view message) const;
    /// Whether \p signature is that of \p message. Compares in constant time.
    bool verify(std::string_view message, std::string_view signature) const;

private:
    std::string key_;
};

} // namespace papayabridge

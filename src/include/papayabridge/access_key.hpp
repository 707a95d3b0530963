/// \file access_key.hpp
/// Access keys, by which callers say for which client account they call.
///
/// A key is kept only as a digest under a secret that each process draws at its start: a
/// dump of the process's memory shows no key, and the time of a comparison tells nothing
/// about one. Digests of different processes differ, so they are never stored or sent.

#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace papayabridge {

/// The digest of an access key.
class access_key_digest
{
public:
    /// Stands for the absence of a key; no key has this digest.
    access_key_digest() = default;
    /// The digest of \p key in this process.
    static access_key_digest of(std::string_view key);

    friend auto operator<=>(const access_key_digest&, const access_key_digest&) = default;

private:
    static constexpr std::size_t digest_bytes = 32;

    std::array<std::uint8_t, digest_bytes> bytes_{};
};

} // namespace papayabridge

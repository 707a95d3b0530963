#include <papayabridge/access_key.hpp>

#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace papayabridge {

namespace {

using secret = std::array<std::uint8_t, 32>;

const secret& process_secret()
{
    static const secret drawn = [] {
        secret bytes{};
        RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
        return bytes;
    }();
    return drawn;
}

} // namespace

access_key_digest access_key_digest::of(std::string_view key)
{
    const auto& drawn = process_secret();
    access_key_digest digest;
    HMAC(EVP_sha256(), drawn.data(), static_cast<int>(drawn.size()),
         reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.bytes_.data(), nullptr);
    return digest;
}

} // namespace papayabridge

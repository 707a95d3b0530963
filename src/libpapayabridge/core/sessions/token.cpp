#include <papayabridge/token.hpp>

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace papayabridge {

namespace {

constexpr std::size_t longest_token = 8192;
constexpr std::size_t signature_length = 64;

std::string hex(const unsigned char* bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 15U];
    }
    return text;
}

// Reads one "service/database=term.index" item into `marks`.
bool read_mark(std::string_view item, session_watermarks& marks)
{
    auto equals = item.rfind('=');
    if (equals == std::string_view::npos) {
        return false;
    }
    auto key = parse_database_key(item.substr(0, equals));
    auto reached = parse_position(item.substr(equals + 1));
    if (!key || !reached) {
        return false;
    }
    marks.advance(*key, *reached);
    return true;
}

} // namespace

position session_watermarks::required_position(const database_key& database) const
{
    auto found = marks_.find(database);
    return found == marks_.end() ? position{} : found->second;
}

void session_watermarks::advance(const database_key& database, position reached)
{
    auto& mark = marks_[database];
    mark = std::max(mark, reached);
}

std::string token_codec::sign(std::string_view message) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(),
         digest.data(), &length);
    return hex(digest.data(), length);
}

bool token_codec::verify(std::string_view message, std::string_view signature) const
{
    auto expected = sign(message);
    return signature.size() == expected.size() &&
           CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) == 0;
}

std::string token_codec::encode(const session_watermarks& marks) const
{
    std::string body = "v1";
    for (const auto& [key, reached] : marks.by_database()) {
        body += ";" + key.str() + "=" + reached.str();
    }
    return body + ";" + sign(body);
}

result<session_watermarks> token_codec::decode(std::string_view token) const
{
    session_watermarks marks;
    if (token.empty()) {
        return marks;
    }
    auto last = token.rfind(';');
    if (token.size() > longest_token || last == std::string_view::npos ||
        token.size() - last - 1 != signature_length)
    {
        return fail(error_kind::bad_token, "the session token is truncated or too long");
    }
    auto body = token.substr(0, last);
    if (!verify(body, token.substr(last + 1))) {
        return fail(error_kind::bad_token,
                    "the session token was not made by this fleet");
    }
    if (body.substr(0, 2) != "v1") {
        return fail(error_kind::bad_token, "the session token has an unknown version");
    }
    body.remove_prefix(2);
    while (!body.empty()) {
        body.remove_prefix(1);
        auto item = body.substr(0, body.find(';'));
        if (!read_mark(item, marks)) {
            return fail(error_kind::bad_token, "the session token has a malformed mark");
        }
        body.remove_prefix(item.size());
    }
    return marks;
}

} // namespace papayabridge

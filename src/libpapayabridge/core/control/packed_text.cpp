#include "packed_text.hpp"

#include <openssl/evp.h>
#include <vector>
#include <zlib.h>

namespace papayabridge {

namespace {

error malformed()
{
    return fail(error_kind::bad_request, "a packed text is damaged");
}

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

// The length stands before the bytes, so that nobody has to guess it.
std::string pack_text(std::string_view text)
{
    auto most = compressBound(text.size());
    std::vector<unsigned char> deflated(most);
    compress2(deflated.data(), &most, bytes_of(text), text.size(), Z_BEST_SPEED);
    std::string encoded(4 * ((most + 2) / 3) + 1, '\0');
    auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                  deflated.data(), static_cast<int>(most));
    encoded.resize(static_cast<std::size_t>(length));
    return std::to_string(text.size()) + ":" + std::to_string(most) + ":" + encoded;
}

result<std::string> unpack_text(std::string_view packed)
{
    std::size_t sizes[2] = {0, 0};
    for (auto& size : sizes) {
        auto colon = packed.find(':');
        if (colon == std::string_view::npos || colon == 0 || colon > 9) {
            return malformed();
        }
        for (char digit : packed.substr(0, colon)) {
            if (digit < '0' || digit > '9') {
                return malformed();
            }
            size = size * 10 + static_cast<std::size_t>(digit - '0');
        }
        packed.remove_prefix(colon + 1);
    }
    auto [length, deflated_length] = sizes;
    bool fits = length <= packed_text_limit && packed.size() % 4 == 0 &&
                deflated_length <= packed.size() && packed.size() <= packed_text_limit;
    if (!fits) {
        return malformed();
    }
    std::vector<unsigned char> deflated(packed.size() / 4 * 3 + 1);
    auto decoded = EVP_DecodeBlock(deflated.data(), bytes_of(packed),
                                   static_cast<int>(packed.size()));
    if (decoded < 0 || static_cast<std::size_t>(decoded) < deflated_length) {
        return malformed();
    }
    // A text of no bytes still needs a place to be written to.
    std::string text(length + 1, '\0');
    uLongf written = length;
    auto done = uncompress(reinterpret_cast<unsigned char*>(text.data()), &written,
                           deflated.data(), deflated_length);
    if (done != Z_OK || written != length) {
        return malformed();
    }
    text.resize(length);
    return text;
}

} // namespace papayabridge

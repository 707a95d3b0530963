/// \file packed_text.hpp
/// Long texts in a short form that JSON can hold: deflated, then base64.

#pragma once

#include <papayabridge/error.hpp>
#include <string>
#include <string_view>

namespace papayabridge {

/// Longest text that unpack_text() gives, in bytes.
inline constexpr std::size_t packed_text_limit = 16 * 1024 * 1024;

std::string pack_text(std::string_view text);
/// `bad_request` if \p packed is not what pack_text() gave, or too long.
result<std::string> unpack_text(std::string_view packed);

} // namespace papayabridge

/// \file json.hpp
/// JSON parsing with limits, and compact writing, on top of jsoncpp.

#pragma once

#include <json/value.h>
#include <papayabridge/error.hpp>
#include <string>
#include <string_view>

namespace papayabridge {

/// Options of parse_json().
struct json_options
{
    /// Maximum nesting depth of arrays and objects.
    unsigned max_depth = 32;
    /// Whether // and /* */ comments are accepted.
    bool allow_comments = false;
};

/// Parses \p text as one JSON object or array. Duplicate keys, trailing text, nesting
/// over the limit and invalid UTF-8 are `bad_request`, with line and column; so is the
/// escape of a lone surrogate, as in "\udc80".
result<Json::Value> parse_json(std::string_view text, const json_options& options = {});

/// Returns what \p decode returns, a result. jsoncpp throws where a value has another
/// type than the one asked for; that becomes `bad_request`, which names \p document.
template <class Decode>
auto decode_guarded(std::string_view document, Decode decode) -> decltype(decode())
{
    try {
        return decode();
    } catch (const Json::Exception& exception) {
        return fail(error_kind::bad_request,
                    "malformed " + std::string(document) + ": " + exception.what());
    }
}

/// Writes \p value on one line.
std::string to_json(const Json::Value& value);

/// Whether \p text is well-formed UTF-8.
bool is_utf8(std::string_view text) noexcept;

/// Replaces each byte of \p text that is not part of well-formed UTF-8 by U+FFFD and its
/// two hexadecimal digits, so that different texts stay different.
std::string replace_invalid_utf8(std::string_view text);

/// Returns member \p name as a string; empty if it is absent or not a string.
std::string text_of(const Json::Value& object, const char* name);
/// Returns member \p name as an unsigned integer; \p fallback if it is absent or not an
/// unsigned integer.
std::uint64_t number_of(const Json::Value& object, const char* name,
                        std::uint64_t fallback = 0);
/// Returns member \p name as a Boolean; false if it is absent or not a Boolean.
bool flag_of(const Json::Value& object, const char* name);

} // namespace papayabridge

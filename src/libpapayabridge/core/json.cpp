#include <papayabridge/json.hpp>

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace papayabridge {

namespace {

std::unique_ptr<Json::CharReader> make_reader(const json_options& options)
{
    Json::CharReaderBuilder builder;
    builder["allowComments"] = options.allow_comments;
    builder["collectComments"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["strictRoot"] = true;
    builder["allowSpecialFloats"] = false;
    builder["allowTrailingCommas"] = false;
    builder["stackLimit"] = options.max_depth;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

// The readers hold buffers; keep one of each sort per thread.
Json::CharReader& reader_for(const json_options& options)
{
    thread_local json_options cached_options;
    thread_local std::unique_ptr<Json::CharReader> cached = make_reader(cached_options);
    if (cached_options.max_depth != options.max_depth ||
        cached_options.allow_comments != options.allow_comments)
    {
        cached_options = options;
        cached = make_reader(options);
    }
    return *cached;
}

std::unique_ptr<Json::StreamWriter> make_writer()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
}

// Number of continuation bytes after lead byte `lead`, or -1.
int continuation_count(unsigned char lead) noexcept
{
    if (lead < 0x80) {
        return 0;
    }
    if (lead >= 0xC2 && lead <= 0xDF) {
        return 1;
    }
    if (lead >= 0xE0 && lead <= 0xEF) {
        return 2;
    }
    if (lead >= 0xF0 && lead <= 0xF4) {
        return 3;
    }
    return -1;
}

// Whether the second byte keeps the sequence out of overlong forms, surrogates and
// code points past U+10FFFF.
bool second_byte_fits(unsigned char lead, unsigned char second) noexcept
{
    switch (lead) {
    case 0xE0:
        return second >= 0xA0;
    case 0xED:
        return second <= 0x9F;
    case 0xF0:
        return second >= 0x90;
    case 0xF4:
        return second <= 0x8F;
    default:
        return true;
    }
}

// Length of the valid UTF-8 sequence at the start of `text`, which is not empty; 0 if
// there is none.
std::size_t sequence_length(std::string_view text) noexcept
{
    auto lead = static_cast<unsigned char>(text.front());
    int more = continuation_count(lead);
    if (more < 0 || static_cast<std::size_t>(more) >= text.size()) {
        return 0;
    }
    for (int i = 1; i <= more; ++i) {
        auto byte = static_cast<unsigned char>(text[static_cast<std::size_t>(i)]);
        if ((byte & 0xC0) != 0x80 || (i == 1 && !second_byte_fits(lead, byte))) {
            return 0;
        }
    }
    return static_cast<std::size_t>(more) + 1;
}

// jsoncpp decodes the escape of a lone surrogate into bytes that are not UTF-8.
bool holds_only_utf8(const Json::Value& value)
{
    if (value.isString()) {
        return is_utf8(value.asString());
    }
    if (!value.isObject() && !value.isArray()) {
        return true;
    }
    for (auto item = value.begin(); item != value.end(); ++item) {
        if ((value.isObject() && !is_utf8(item.name())) || !holds_only_utf8(*item)) {
            return false;
        }
    }
    return true;
}

} // namespace

bool is_utf8(std::string_view text) noexcept
{
    while (!text.empty()) {
        auto length = sequence_length(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

std::string replace_invalid_utf8(std::string_view text)
{
    constexpr std::string_view replacement = "\xEF\xBF\xBD";
    constexpr std::string_view digits = "0123456789abcdef";
    std::string replaced;
    replaced.reserve(text.size());
    while (!text.empty()) {
        auto length = sequence_length(text);
        if (length > 0) {
            replaced += text.substr(0, length);
            text.remove_prefix(length);
            continue;
        }
        auto byte = static_cast<unsigned char>(text.front());
        replaced += replacement;
        replaced += digits[byte >> 4U];
        replaced += digits[byte & 0xFU];
        text.remove_prefix(1);
    }
    return replaced;
}

result<Json::Value> parse_json(std::string_view text, const json_options& options)
{
    if (!is_utf8(text)) {
        return fail(error_kind::bad_request, "the JSON text is not valid UTF-8");
    }
    // Without escapes, each decoded string is a part of the text.
    bool has_unicode_escapes = text.find("\\u") != std::string_view::npos;
    Json::Value value;
    std::string problems;
    try {
        auto& reader = reader_for(options);
        if (reader.parse(text.data(), text.data() + text.size(), &value, &problems)) {
            if (has_unicode_escapes && !holds_only_utf8(value)) {
                return fail(error_kind::bad_request,
                            "a string of the JSON text is not valid Unicode");
            }
            return value;
        }
    } catch (const Json::Exception&) {
        // jsoncpp reports exceeded nesting by an exception.
        problems = "nested deeper than " + std::to_string(options.max_depth) + " levels";
    }
    while (!problems.empty() && (problems.back() == '\n' || problems.back() == ' ')) {
        problems.pop_back();
    }
    return fail(error_kind::bad_request, "not valid JSON: " + problems);
}

std::string to_json(const Json::Value& value)
{
    thread_local std::unique_ptr<Json::StreamWriter> writer = make_writer();
    std::ostringstream out;
    writer->write(value, &out);
    return std::move(out).str();
}

std::string text_of(const Json::Value& object, const char* name)
{
    if (!object.isObject()) {
        return {};
    }
    const auto& member = object[name];
    return member.isString() ? member.asString() : std::string();
}

std::uint64_t number_of(const Json::Value& object, const char* name,
                        std::uint64_t fallback)
{
    if (!object.isObject()) {
        return fallback;
    }
    const auto& member = object[name];
    return member.isUInt64() ? member.asUInt64() : fallback;
}

bool flag_of(const Json::Value& object, const char* name)
{
    return object.isObject() && object[name].isBool() && object[name].asBool();
}

} // namespace papayabridge

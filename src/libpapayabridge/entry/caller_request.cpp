#include "caller_request.hpp"

#include <array>
#include <papayabridge/json.hpp>
#include <xxhash.h>

namespace papayabridge {

namespace {

constexpr std::size_t max_name_length = 128;
constexpr std::uint64_t max_deadline_ms = 600'000;
constexpr std::uint64_t max_accepted_age_ms = 86'400'000;

constexpr std::array<std::string_view, 10> known_fields{
    "statement",  "statements",  "mode", "rank",       "read_kind",
    "max_age_ms", "deadline_ms", "key",  "repeatable", "caller"};

error invalid_field(const std::string& field, const std::string& accepted)
{
    return fail(error_kind::bad_request, "\"" + field + "\": accepted: " + accepted);
}

result<void> check_field_names(const Json::Value& body)
{
    for (const auto& name : body.getMemberNames()) {
        bool known = std::find(known_fields.begin(), known_fields.end(), name) !=
                     known_fields.end();
        if (!known) {
            return invalid_field(name, "the fields that the API page lists");
        }
    }
    return success();
}

// These values are forwarded in HTTP headers, which must not hold control characters.
bool is_visible_ascii(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return static_cast<unsigned char>(c) > 0x20 &&
               static_cast<unsigned char>(c) < 0x7F;
    });
}

result<std::string> read_name_field(const Json::Value& body, const char* name)
{
    if (!body.isMember(name)) {
        return std::string();
    }
    auto text = text_of(body, name);
    if (text.empty() || text.size() > max_name_length || !is_visible_ascii(text)) {
        return invalid_field(name, "1 to 128 printable ASCII characters without spaces");
    }
    return text;
}

result<std::uint64_t> read_number_field(const Json::Value& body, const char* name,
                                        std::uint64_t maximum, std::uint64_t fallback)
{
    if (!body.isMember(name)) {
        return fallback;
    }
    if (!body[name].isUInt64() || body[name].asUInt64() > maximum) {
        return invalid_field(name, "a whole number from 0 to " + std::to_string(maximum));
    }
    return body[name].asUInt64();
}

result<Json::Value> read_statements(const Json::Value& body)
{
    if (body["statement"].isString() && !body.isMember("statements")) {
        Json::Value list(Json::arrayValue);
        list.append(body["statement"]);
        return list;
    }
    const auto& list = body["statements"];
    bool valid = list.isArray() && !list.empty() && !body.isMember("statement");
    for (const auto& item : list) {
        valid = valid && item.isString();
    }
    if (!valid) {
        return invalid_field("statement",
                             "one string, or \"statements\" with a list of strings");
    }
    return list;
}

result<void> read_mode(const Json::Value& body, caller_request& request)
{
    if (!body.isMember("mode")) {
        return success();
    }
    auto mode = text_of(body, "mode");
    if (mode != "read" && mode != "write") {
        return invalid_field("mode", "\"read\" or \"write\"");
    }
    request.write = mode == "write";
    return success();
}

result<void> read_rank(const Json::Value& body, caller_request& request)
{
    if (!body.isMember("rank")) {
        return success();
    }
    auto rank = parse_rank(text_of(body, "rank"));
    if (!rank) {
        return invalid_field("rank", "\"urgent\", \"normal\" or \"batch\"");
    }
    request.rank = *rank;
    return success();
}

// "max_age_ms" takes precedence over the age of the read kind.
result<void> read_accepted_age(const Json::Value& body, const service_settings& service,
                               caller_request& request)
{
    request.accepted_age = std::chrono::milliseconds(0);
    auto kind = body.isMember("read_kind") ? text_of(body, "read_kind") : "fresh";
    if (kind == "session") {
        request.accepted_age.reset();
    } else if (kind != "fresh") {
        auto found = service.read_kinds.find(kind);
        if (found == service.read_kinds.end()) {
            return invalid_field("read_kind",
                                 "\"fresh\", \"session\" or a kind of the service");
        }
        request.accepted_age = found->second;
    }
    if (body.isMember("max_age_ms")) {
        auto age = read_number_field(body, "max_age_ms", max_accepted_age_ms, 0);
        if (!age) {
            return age.error();
        }
        request.accepted_age = std::chrono::milliseconds(age.value());
    }
    return success();
}

std::string compute_digest(const caller_request& request)
{
    auto hash = XXH3_128bits(request.member_body.data(), request.member_body.size());
    return std::to_string(hash.high64) + "-" + std::to_string(hash.low64) +
           (request.write ? "w" : "r");
}

result<void> read_options(const Json::Value& body, const service_settings& service,
                          caller_request& request)
{
    auto default_deadline =
        static_cast<std::uint64_t>(service.ranks[request.rank].deadline.count());
    auto deadline =
        read_number_field(body, "deadline_ms", max_deadline_ms, default_deadline);
    if (!deadline) {
        return deadline.error();
    }
    request.deadline = std::chrono::milliseconds(deadline.value());
    auto key = read_name_field(body, "key");
    if (!key) {
        return key.error();
    }
    request.key = key.value();
    auto caller = read_name_field(body, "caller");
    if (!caller) {
        return caller.error();
    }
    request.caller = caller_id(caller.value());
    if (body.isMember("repeatable") && !body["repeatable"].isBool()) {
        return invalid_field("repeatable", "true or false");
    }
    request.repeatable = flag_of(body, "repeatable");
    return success();
}

} // namespace

result<caller_request> read_caller_request(std::string_view text, caller_body_kind kind,
                                           const service_settings& service)
{
    bool omitted = kind == caller_body_kind::control && text.empty();
    auto parsed = parse_json(omitted ? std::string_view("{}") : text);
    if (!parsed) {
        return parsed.error();
    }
    const auto& body = parsed.value();
    if (!body.isObject()) {
        return fail(error_kind::bad_request, "the body must be one JSON object");
    }
    caller_request request;
    BOOST_OUTCOME_TRY(check_field_names(body));
    BOOST_OUTCOME_TRY(read_mode(body, request));
    BOOST_OUTCOME_TRY(read_rank(body, request));
    BOOST_OUTCOME_TRY(read_accepted_age(body, service, request));
    BOOST_OUTCOME_TRY(read_options(body, service, request));
    Json::Value member_body(Json::objectValue);
    if (kind != caller_body_kind::control) {
        auto statements = read_statements(body);
        if (!statements) {
            return statements.error();
        }
        member_body["statements"] = std::move(statements.value());
    } else {
        member_body["statements"] = Json::Value(Json::arrayValue);
    }
    request.member_body = to_json(member_body);
    request.digest = compute_digest(request);
    return request;
}

} // namespace papayabridge

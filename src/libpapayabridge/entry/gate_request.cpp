#include "gate_request.hpp"

#include <array>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::array<std::string_view, 6> mode_names{"read", "write",  "begin",
                                                     "step", "commit", "rollback"};

constexpr const char* signature_header = "Papaya-Fleet";
constexpr const char* error_header = "Papaya-Error";

// The signature covers the fields that decide where the statement runs and what it does.
std::string signed_text(const gate_request& request)
{
    return request.request.str() + "\n" + request.database.str() + "\n" +
           request.member.str() + "\n" + std::string(to_string(request.mode)) + "\n" +
           request.key + "\n" + request.transaction + "\n" + request.body;
}

std::chrono::milliseconds time_left(time_point deadline)
{
    auto left = deadline - steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(left);
}

void set_if_not_empty(http_request& message, const char* name, const std::string& value)
{
    if (!value.empty()) {
        message.set(name, value);
    }
}

} // namespace

std::string_view to_string(statement_mode mode) noexcept
{
    return mode_names[static_cast<std::size_t>(mode)];
}

std::optional<statement_mode> parse_statement_mode(std::string_view name) noexcept
{
    for (std::size_t i = 0; i < mode_names.size(); ++i) {
        if (mode_names[i] == name) {
            return static_cast<statement_mode>(i);
        }
    }
    return std::nullopt;
}

std::size_t end_marker_length(const request_id& request)
{
    constexpr std::string_view before = ",\"end\":\"";
    constexpr std::string_view after = "\"}";
    return before.size() + request.str().size() + after.size();
}

bool ends_with_end_marker(std::string_view body, const request_id& request)
{
    auto marker = ",\"end\":\"" + request.str() + "\"}";
    return body.size() >= marker.size() &&
           body.substr(body.size() - marker.size()) == marker;
}

http_request to_http(const gate_request& request, const token_codec& codec)
{
    auto message = make_request(http::verb::post, "/internal/execute", request.body);
    message.set("Papaya-Request", request.request.str());
    message.set("Papaya-Database", request.database.str());
    message.set("Papaya-Mode", std::string(to_string(request.mode)));
    message.set("Papaya-Rank", std::string(to_string(request.rank)));
    message.set("Papaya-Deadline-Ms",
                std::to_string(time_left(request.deadline).count()));
    set_if_not_empty(message, "Papaya-Member", request.member.str());
    set_if_not_empty(message, "Papaya-Caller", request.caller.str());
    set_if_not_empty(message, "Papaya-Key", request.key);
    set_if_not_empty(message, "Papaya-Digest", request.digest);
    set_if_not_empty(message, "Papaya-Transaction", request.transaction);
    if (request.min_position != position{}) {
        message.set("Papaya-Min-Position", request.min_position.str());
    }
    if (request.accepted_age) {
        message.set("Papaya-Age-Ms", std::to_string(request.accepted_age->count()));
    }
    if (request.wait.count() > 0) {
        message.set("Papaya-Wait-Ms", std::to_string(request.wait.count()));
    }
    message.set(signature_header, codec.sign(signed_text(request)));
    return message;
}

result<gate_request> gate_request_from(const http_exchange& exchange,
                                       const token_codec& codec)
{
    auto text = [&exchange](const char* name) {
        return std::string(exchange.header(name));
    };
    gate_request request;
    request.request = request_id(text("Papaya-Request"));
    request.member = member_id(text("Papaya-Member"));
    request.caller = caller_id(text("Papaya-Caller"));
    request.key = text("Papaya-Key");
    request.digest = text("Papaya-Digest");
    request.transaction = text("Papaya-Transaction");
    request.body = exchange.request().body();
    auto database = parse_database_key(exchange.header("Papaya-Database"));
    auto mode = parse_statement_mode(exchange.header("Papaya-Mode"));
    auto rank = parse_rank(exchange.header("Papaya-Rank"));
    auto left = parse_unsigned(exchange.header("Papaya-Deadline-Ms"));
    if (!database || !mode || !rank || !left) {
        return fail(error_kind::bad_request,
                    "the forwarded statement has a malformed header");
    }
    request.database = *database;
    request.mode = *mode;
    request.rank = *rank;
    request.deadline = steady_clock::now() + std::chrono::milliseconds(*left);
    if (!codec.verify(signed_text(request), exchange.header(signature_header))) {
        return fail(error_kind::unauthorized,
                    "the signature of the forwarded statement is wrong");
    }
    request.min_position =
        parse_position(exchange.header("Papaya-Min-Position")).value_or(position{});
    if (auto age = parse_unsigned(exchange.header("Papaya-Age-Ms"))) {
        request.accepted_age = std::chrono::milliseconds(*age);
    }
    request.wait = std::chrono::milliseconds(
        parse_unsigned(exchange.header("Papaya-Wait-Ms")).value_or(0));
    return request;
}

http_response to_http(const gate_answer& answer)
{
    auto message = make_response(200, {});
    message.set("Papaya-Position", answer.reached.str());
    message.set("Papaya-Member", answer.member.str());
    message.set("Papaya-Primary", answer.primary ? "1" : "0");
    message.set("Papaya-Replayed", answer.replayed ? "1" : "0");
    if (!answer.transaction.empty()) {
        message.set("Papaya-Transaction", answer.transaction);
    }
    return message;
}

gate_answer gate_answer_from(const http_response_head& head)
{
    gate_answer answer;
    answer.reached = parse_position(head.header("Papaya-Position")).value_or(position{});
    answer.member = member_id(std::string(head.header("Papaya-Member")));
    answer.primary = head.header("Papaya-Primary") == "1";
    answer.replayed = head.header("Papaya-Replayed") == "1";
    answer.transaction = std::string(head.header("Papaya-Transaction"));
    answer.length = head.length;
    return answer;
}

http_response to_http(const error& problem)
{
    const auto& row = answer_of(problem.kind);
    Json::Value body;
    body["detail"] = problem.detail;
    auto message = make_response(row.http_status, to_json(body));
    message.set(error_header, std::string(row.name));
    // The detail is sent in the body, as a header cannot hold line breaks.
    return message;
}

error error_from(const http_response_head& head)
{
    auto name = head.header(error_header);
    auto status = std::to_string(head.status);
    if (name.empty()) {
        return fail(error_kind::outcome_unknown,
                    "an entry answered with status " + status);
    }
    return fail(error_kind_of(name), "reported by the gate");
}

} // namespace papayabridge

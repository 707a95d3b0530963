#include "client.hpp"

#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::size_t longest_answer = 4 * 1024 * 1024;
/// How long past the deadline an entry may still answer.
constexpr std::chrono::milliseconds answer_grace{2000};

std::string body_of(const load_request& request)
{
    Json::Value body(Json::objectValue);
    for (const auto& each : request.statements) {
        body["statements"].append(each);
    }
    body["mode"] = request.write ? "write" : "read";
    body["rank"] = std::string(to_string(request.rank));
    body["caller"] = request.caller.str();
    body["deadline_ms"] = Json::Int64(request.deadline.count());
    if (request.write) {
        body["key"] = request.key;
        return to_json(body);
    }
    if (request.read.max_age) {
        body["max_age_ms"] = Json::Int64(request.read.max_age->count());
    }
    if (!request.read.kind.empty()) {
        body["read_kind"] = request.read.kind;
    }
    return to_json(body);
}

std::string header_of(const http_response& response, const char* name)
{
    return std::string(response[name]);
}

load_answer answer_from(const http_response& response)
{
    load_answer answer;
    answer.body = response.body();
    answer.session_token = header_of(response, "Papaya-Session");
    const auto parsed = parse_json(answer.body);
    if (response.result_int() != 200) {
        answer.error = parsed ? text_of(parsed.value(), "error") : "malformed_answer";
        const auto ran = parsed ? text_of(parsed.value(), "ran") : "";
        answer.ran = ran == "no"    ? ran_state::no
                     : ran == "yes" ? ran_state::yes
                                    : ran_state::unknown;
        return answer;
    }
    answer.served = true;
    answer.ran = ran_state::yes;
    const auto served_by = header_of(response, "Papaya-Served-By");
    answer.by_replica = served_by.find(";replica") != std::string::npos;
    const auto id = header_of(response, "Papaya-Request");
    answer.mixed = !parsed || text_of(parsed.value(), "id") != id ||
                   text_of(parsed.value(), "end") != id;
    return answer;
}

} // namespace

net::awaitable<load_answer> load_client::call(tcp::endpoint entry, load_request request)
{
    const auto target =
        "/v1/" + request.service.str() + "/" + request.database.str() + "/statements";
    auto message = make_request(http::verb::post, target, body_of(request));
    if (!request.session_token.empty()) {
        message.set("Papaya-Session", request.session_token);
    }
    const auto deadline = steady_clock::now() + request.deadline + answer_grace;
    auto called = co_await pool_.call(entry, std::move(message), longest_answer, deadline,
                                      traffic_cause::statement);
    load_answer answer;
    if (called) {
        answer = answer_from(called.value());
    } else {
        answer.error = answer_of(called.error().kind).name;
        answer.ran = answer_of(called.error().kind).ran;
    }
    co_return answer;
}

} // namespace papayabridge

#include "control_calls.hpp"

#include <algorithm>
#include <array>
#include <papayabridge/json.hpp>
#include <sstream>

namespace papayadb {

using namespace papayabridge;

namespace {

constexpr std::uint64_t longest_wait_ms = 30000;
// Entries sent to a replica at once.
constexpr std::size_t batch_entries = 256;

using answer = control_calls::answer;

struct call_row
{
    std::string_view path;
    net::awaitable<answer> (control_calls::*run)(const control_call&);
};

constexpr std::array<call_row, 9> calls{{
    {"/control/position", &control_calls::position},
    {"/control/fence", &control_calls::fence},
    {"/control/promote", &control_calls::promote},
    {"/control/follow", &control_calls::follow},
    {"/replicate", &control_calls::replicate},
    {"/stats", &control_calls::stats},
    {"/log", &control_calls::log},
    {"/admin/fault", &control_calls::fault},
    {"/admin/leave", &control_calls::leave},
}};

std::map<std::string, std::string> parse_query(const std::string& text)
{
    std::map<std::string, std::string> query;
    std::istringstream items(text);
    std::string item;
    while (std::getline(items, item, '&')) {
        std::istringstream sides(item);
        std::string name;
        std::getline(sides, name, '=');
        std::getline(sides, query[name]);
    }
    return query;
}

control_call parse_call(const http_request& request)
{
    std::string target(request.target());
    auto mark = std::min(target.find('?'), target.size());
    control_call call;
    call.path = target.substr(0, mark);
    if (mark < target.size()) {
        call.query = parse_query(target.substr(mark + 1));
    }
    if (auto body = parse_json(request.body()); body && body.value().isObject()) {
        call.body = std::move(body.value());
    }
    return call;
}

std::optional<link_cut> cut_of(const std::string& name)
{
    static const std::map<std::string, link_cut> cuts{{"none", link_cut::none},
                                                      {"send", link_cut::send},
                                                      {"receive", link_cut::receive},
                                                      {"both", link_cut::both}};
    auto found = cuts.find(name);
    return found == cuts.end() ? std::nullopt : std::optional(found->second);
}

answer json_answer(unsigned status, const Json::Value& body)
{
    return make_response(status, to_json(body));
}

} // namespace

term control_call::term_in_query() const
{
    return term(number("term"));
}

std::uint64_t control_call::number(const std::string& name) const
{
    auto found = query.find(name);
    return found == query.end() ? 0 : parse_unsigned(found->second).value_or(0);
}

net::awaitable<void> control_calls::serve(http_exchange& exchange)
{
    auto call = parse_call(exchange.request());
    const auto* row = std::find_if(calls.begin(), calls.end(), [&](const auto& each) {
        return each.path == call.path;
    });
    if (row == calls.end()) {
        static_cast<void>(
            co_await exchange.reply(make_response(404, R"({"error":"not_found"})")));
        co_return;
    }
    auto response = co_await (this->*row->run)(call);
    static_cast<void>(co_await exchange.reply(std::move(response)));
}

net::awaitable<answer> control_calls::position(const control_call& call)
{
    auto asked = call.query.contains("term") ? call.term_in_query() : term(UINT64_MAX);
    auto wait = std::min(call.number("wait_ms"), longest_wait_ms);
    auto deadline = steady_clock::now() + std::chrono::milliseconds(wait);
    auto after =
        call.query.contains("after")
            ? parse_position(call.query.at("after")).value_or(papayabridge::position{})
            : papayabridge::position{};
    auto& state = node_->state;
    while (state.last() < after && state.accepted() <= asked &&
           steady_clock::now() < deadline)
    {
        co_await node_->changed.wait(deadline);
    }
    if (state.accepted() > asked) {
        co_return superseded();
    }
    if (call.query.contains("term")) {
        node_->probed_at = steady_clock::now();
    }
    auto body = accepted(papayadb::success());
    co_return body;
}

net::awaitable<answer> control_calls::fence(const control_call& call)
{
    auto done = node_->state.fence(term(number_of(call.body, "term")));
    // Before the first write an empty log is all there is.
    bool founds = papayabridge::flag_of(call.body, "founding");
    node_->complete = node_->complete || (done.has_value() && founds);
    co_return accepted(done);
}

net::awaitable<answer> control_calls::promote(const control_call& call)
{
    auto done = node_->state.promote(term(number_of(call.body, "term")));
    node_->complete = node_->complete || done.has_value();
    co_return accepted(done);
}

net::awaitable<answer> control_calls::follow(const control_call& call)
{
    auto source = parse_endpoint(text_of(call.body, "primary"));
    if (!source) {
        co_return make_response(400, R"({"error":"bad_request"})");
    }
    auto done = node_->state.follow(term(number_of(call.body, "term")), *source);
    co_return accepted(done);
}

// A term is kept before it is answered.
answer control_calls::accepted(const outcome<void>& done)
{
    if (!done) {
        return superseded();
    }
    auto& state = node_->state;
    if (state.accepted() > node_->kept_term) {
        node_->kept_term = state.accepted();
        node_->file.accepted(state.accepted());
        node_->keep_and_wake();
    }
    node_->changed.notify();
    auto source = state.following();
    Json::Value body;
    body["member"] = node_->settings.member;
    body["term"] = Json::UInt64(state.accepted().value());
    body["position"] = state.last().str();
    body["complete"] = node_->complete;
    body["idle_ms"] = Json::UInt64(node_->idle().count());
    body["role"] = state.primary() ? "primary" : "replica";
    body["primary"] = state.primary() ? papayabridge::to_string(node_->settings.listen)
                      : source        ? papayabridge::to_string(*source)
                                      : "";
    return json_answer(200, body);
}

answer control_calls::superseded()
{
    Json::Value body;
    body["error"] = "superseded";
    body["term"] = Json::UInt64(node_->state.accepted().value());
    body["position"] = node_->state.last().str();
    auto response = json_answer(409, body);
    response.set("Papaya-Refusal", "superseded");
    response.set("Papaya-Position", node_->state.last().str());
    return response;
}

net::awaitable<answer> control_calls::replicate(const control_call& call)
{
    auto found = call.query.find("from");
    auto from = found == call.query.end() ? std::nullopt : parse_position(found->second);
    auto asked = call.term_in_query();
    auto& state = node_->state;
    auto wait = std::min(call.number("wait_ms"), longest_wait_ms);
    auto deadline = steady_clock::now() + std::chrono::milliseconds(wait);
    auto leads = [&] { return state.primary() && state.accepted() == asked; };
    while (from && leads() && state.last() == *from && steady_clock::now() < deadline) {
        co_await node_->changed.wait(deadline);
    }
    if (!from || !leads()) {
        co_return superseded();
    }
    if (state.holds(*from)) {
        co_return entries_after(*from);
    }
    auto hint = state.hint_for(*from);
    Json::Value body;
    body["hint"]["index"] = Json::UInt64(hint.index.value());
    body["hint"]["term"] = Json::UInt64(hint.term_there.value());
    co_return json_answer(200, body);
}

answer control_calls::entries_after(papayabridge::position from)
{
    const auto& log = node_->state.log();
    auto now = steady_clock::now();
    Json::Value body;
    body["entries"] = Json::Value(Json::arrayValue);
    auto end = std::min<std::size_t>(log.size(), from.index.value() + batch_entries);
    for (std::size_t at = from.index.value(); at < end; ++at) {
        auto age = std::chrono::duration_cast<std::chrono::microseconds>(
            now - node_->written_at[at]);
        auto entry = to_value(log[at]);
        entry["age_us"] = Json::Int64(age.count());
        body["entries"].append(std::move(entry));
    }
    body["last"] = node_->state.last().str();
    return json_answer(200, body);
}

net::awaitable<answer> control_calls::stats(const control_call&)
{
    const auto& stats = node_->stats;
    Json::Value body;
    body["slots"] = Json::UInt64(node_->settings.slots);
    body["connections"] = Json::UInt64(node_->settings.connections);
    body["open_connections"] = Json::UInt64(node_->connections.size());
    body["statements"] = Json::UInt64(stats.statements);
    body["writes"] = Json::UInt64(stats.writes);
    body["reads_as_primary"] = Json::UInt64(stats.reads_as_primary);
    body["reads_as_replica"] = Json::UInt64(stats.reads_as_replica);
    body["replays"] = Json::UInt64(stats.replays);
    body["max_concurrent"] = Json::UInt64(stats.max_concurrent);
    body["max_connections"] = Json::UInt64(stats.max_connections);
    body["new_connections"] = Json::UInt64(stats.new_connections);
    body["refused_busy"] = Json::UInt64(stats.refused_busy);
    body["refused_connections"] = Json::UInt64(stats.refused_connections);
    body["rolled_back"] = Json::UInt64(stats.rolled_back);
    body["late_after_leaving"] = Json::UInt64(stats.late_after_leaving);
    body["open_transactions"] = Json::UInt64(node_->open_transactions());
    co_return json_answer(200, body);
}

net::awaitable<answer> control_calls::log(const control_call&)
{
    Json::Value body;
    body["member"] = node_->settings.member;
    body["entries"] = Json::Value(Json::arrayValue);
    for (const auto& entry : node_->state.log()) {
        body["entries"].append(to_value(entry));
    }
    body["data"] = Json::Value(Json::objectValue);
    for (const auto& [key, value] : node_->state.data()) {
        body["data"][key] = value;
    }
    co_return json_answer(200, body);
}

net::awaitable<answer> control_calls::fault(const control_call& call)
{
    auto change = call.body;
    if (change.isMember("cut")) {
        auto cut = cut_of(text_of(change, "cut"));
        if (!cut) {
            co_return make_response(400, R"({"error":"bad_request"})");
        }
        node_->settings.links->set_cut(domain_name(text_of(change, "domain")), *cut);
        change.removeMember("cut");
        change.removeMember("domain");
    }
    bool known = node_->faults.change(change);
    node_->changed.notify();
    co_return known ? make_response(200, "{}")
                    : make_response(400, R"({"error":"bad_request"})");
}

net::awaitable<answer> control_calls::leave(const control_call&)
{
    node_->leave();
    co_return make_response(200, "{}");
}

} // namespace papayadb

#include "data_calls.hpp"

#include <algorithm>
#include <array>
#include <papayabridge/json.hpp>

namespace papayadb {

using namespace papayabridge;

namespace {

// A member that leaves takes new work for so long, for the word to spread.
constexpr std::chrono::seconds leave_grace{3};
constexpr std::chrono::seconds longest_key_wait{5};
constexpr std::uint64_t longest_read_wait_ms = 60000;

struct mode_row
{
    std::string_view mode;
    net::awaitable<outcome<data_answer>> (data_calls::*run)(const data_call&);
};

constexpr std::array<mode_row, 6> modes{{
    {"read", &data_calls::read},
    {"write", &data_calls::write},
    {"begin", &data_calls::begin},
    {"step", &data_calls::step},
    {"commit", &data_calls::commit},
    {"rollback", &data_calls::rollback},
}};

const mode_row* row_of(std::string_view mode)
{
    const auto* found = std::find_if(modes.begin(), modes.end(),
                                     [&](const auto& row) { return row.mode == mode; });
    return found == modes.end() ? nullptr : found;
}

bool take_statements(const std::string& body, statement_list& statements)
{
    auto parsed = parse_json(body);
    if (!parsed || !parsed.value().isObject()) {
        return body.empty();
    }
    for (const auto& statement : parsed.value()["statements"]) {
        if (!statement.isString()) {
            return false;
        }
        statements.push_back(statement.asString());
    }
    return true;
}

std::optional<data_call> parse_call(const http_exchange& exchange)
{
    data_call call;
    call.remote = exchange.remote_endpoint();
    call.request = exchange.header("Papaya-Request");
    call.mode = exchange.header("Papaya-Mode");
    call.key = exchange.header("Papaya-Key");
    call.digest = exchange.header("Papaya-Digest");
    auto gate = parse_unsigned(exchange.header("Papaya-Term"));
    if (!gate && call.mode == "read") {
        // A read that names no term is bound by its position only.
        gate = UINT64_MAX;
    }
    if (!gate || call.request.empty() || row_of(call.mode) == nullptr) {
        return std::nullopt;
    }
    call.gate = term(*gate);
    call.min_position =
        parse_position(exchange.header("Papaya-Min-Position")).value_or(position{});
    if (auto follows = parse_unsigned(exchange.header("Papaya-Follows"))) {
        call.follows = term(*follows);
    }
    auto wait = parse_unsigned(exchange.header("Papaya-Wait-Ms")).value_or(0);
    call.wait = std::chrono::milliseconds(std::min(wait, longest_read_wait_ms));
    if (!take_statements(exchange.request().body(), call.statements)) {
        return std::nullopt;
    }
    return call;
}

// Tells a fault to show itself once less; whether it was due.
bool spend(std::uint64_t& count)
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

http_response compose(const std::string& id, const data_answer& done)
{
    auto quoted = to_json(Json::Value(id));
    auto response =
        make_response(200, R"({"id":)" + quoted + R"(,"rows":)" + to_json(done.rows) +
                               R"(,"end":)" + quoted + "}");
    response.set("Papaya-Request", id);
    response.set("Papaya-Position", done.at.str());
    if (done.replayed) {
        response.set("Papaya-Replayed", "1");
    }
    return response;
}

net::awaitable<void> send_half(http_exchange& exchange, http_response response)
{
    auto body = std::move(response.body());
    std::span<const char> half(body.data(), body.size() / 2);
    static_cast<void>(co_await exchange.start_reply(std::move(response), body.size()));
    static_cast<void>(co_await exchange.write_body(half));
}

} // namespace

net::awaitable<void> data_calls::serve(http_exchange& exchange)
{
    auto call = parse_call(exchange);
    if (!call) {
        static_cast<void>(
            co_await exchange.reply(make_response(400, R"({"error":"bad_request"})")));
        co_return;
    }
    auto request = call->request;
    ++node_->in_progress;
    auto done = co_await run(std::move(*call));
    if (node_->faults.late_ms != 0) {
        co_await pause(std::chrono::milliseconds(node_->faults.late_ms));
    }
    if (done) {
        co_await answer(exchange, std::move(request), std::move(done.value()));
    } else {
        co_await refuse(exchange, done.error());
    }
    --node_->in_progress;
}

void data_calls::closed(const endpoint& remote)
{
    auto found = node_->connections.find(remote);
    if (found == node_->connections.end()) {
        return;
    }
    if (found->second.transaction) {
        ++node_->stats.rolled_back;
    }
    node_->connections.erase(found);
}

net::awaitable<outcome<data_answer>> data_calls::run(data_call call)
{
    auto admitted = co_await admit(call);
    if (!admitted) {
        co_return admitted.error();
    }
    ++node_->stats.statements;
    auto done = co_await (this->*row_of(call.mode)->run)(call);
    co_return done;
}

net::awaitable<outcome<void>> data_calls::admit(const data_call& call)
{
    auto& connections = node_->connections;
    if (connections.contains(call.remote)) {
        co_return success();
    }
    if (connections.size() >= node_->settings.connections) {
        ++node_->stats.refused_connections;
        co_return refusal{refusal_kind::too_many_connections, "no connection is free"};
    }
    connections[call.remote];
    ++node_->stats.new_connections;
    node_->stats.max_connections =
        std::max<std::uint64_t>(node_->stats.max_connections, connections.size());
    co_await pause(node_->settings.connect_cost);
    co_return success();
}

outcome<void> data_calls::check_leaving()
{
    if (node_->leaving() && steady_clock::now() > *node_->left_at + leave_grace) {
        ++node_->stats.late_after_leaving;
        return refusal{refusal_kind::leaving, "this member is leaving"};
    }
    return success();
}

net::awaitable<void> data_calls::work(const statement_list& statements)
{
    std::chrono::microseconds cost(node_->faults.service_us);
    co_await pause(cost + sleep_of(statements));
}

// A superseded primary holds entries that no majority may hold: it shows nothing to those
// who ask for a replica until its log was matched with the new primary's.
bool data_calls::may_show(const data_call& call) const
{
    const auto& state = node_->state;
    bool follows =
        !call.follows || (!state.primary() && node_->matched_term >= *call.follows);
    return follows && state.last() >= call.min_position;
}

net::awaitable<outcome<data_answer>> data_calls::read(const data_call& call)
{
    BOOST_OUTCOME_CO_TRYV(check_leaving());
    auto deadline = steady_clock::now() + call.wait;
    while (!may_show(call)) {
        BOOST_OUTCOME_CO_TRYV(node_->state.check_read(call.gate));
        if (steady_clock::now() >= deadline) {
            co_return refusal{refusal_kind::behind, "the position is not reached"};
        }
        co_await node_->changed.wait(deadline);
    }
    BOOST_OUTCOME_CO_TRYV(node_->state.check_read(call.gate));
    if (writes(call.statements)) {
        co_return refusal{refusal_kind::statement_failed, "a read must not write"};
    }
    bool slot = co_await node_->take_slot();
    if (!slot) {
        co_return refusal{refusal_kind::busy, "no slot is free"};
    }
    co_await work(call.statements);
    node_->give_slot();
    BOOST_OUTCOME_CO_TRYV(node_->state.check_read(call.gate));
    if (!may_show(call)) {
        co_return refusal{refusal_kind::behind, "the position was cut"};
    }
    auto done = execute(node_->state.data(), call.statements);
    if (!done) {
        co_return done.error();
    }
    auto& stats = node_->stats;
    ++(node_->state.primary() ? stats.reads_as_primary : stats.reads_as_replica);
    data_answer answer{.at = node_->state.last(), .rows = std::move(done.value().rows)};
    co_return answer;
}

net::awaitable<outcome<data_answer>> data_calls::write(const data_call& call)
{
    BOOST_OUTCOME_CO_TRYV(check_leaving());
    auto done = co_await write_once(call, call.statements);
    co_return done;
}

net::awaitable<outcome<data_answer>> data_calls::write_once(const data_call& call,
                                                            statement_list statements)
{
    BOOST_OUTCOME_CO_TRYV(node_->state.check_write(call.gate));
    auto deadline = steady_clock::now() + longest_key_wait;
    auto& in_progress = node_->keys_in_progress;
    while (in_progress.contains(call.key) && steady_clock::now() < deadline) {
        co_await node_->changed.wait(deadline);
    }
    BOOST_OUTCOME_CO_TRYV(node_->state.check_write(call.gate));
    if (in_progress.contains(call.key)) {
        co_return refusal{refusal_kind::busy, "the key is in use"};
    }
    // Held from here on, so that a duplicate waits also while this one waits for a slot.
    if (!call.key.empty()) {
        in_progress.insert(call.key);
    }
    bool slot = co_await node_->take_slot();
    if (!slot) {
        in_progress.erase(call.key);
        node_->changed.notify();
        co_return refusal{refusal_kind::busy, "no slot is free"};
    }
    co_await work(statements);
    log_entry entry{.request = request_id(call.request),
                    .key = call.key,
                    .digest = call.digest,
                    .statements = std::move(statements)};
    auto done = node_->state.write(call.gate, std::move(entry));
    if (done && !done.value().replayed) {
        node_->file.appended(node_->state.log().back());
        ++node_->stats.writes;
    }
    in_progress.erase(call.key);
    node_->give_slot();
    node_->keep_and_wake();
    if (!done) {
        co_return done.error();
    }
    node_->stats.replays += done.value().replayed ? 1 : 0;
    data_answer answer{.at = done.value().at,
                       .rows = done.value().rows,
                       .replayed = done.value().replayed};
    co_return answer;
}

net::awaitable<outcome<data_answer>> data_calls::begin(const data_call& call)
{
    BOOST_OUTCOME_CO_TRYV(check_leaving());
    BOOST_OUTCOME_CO_TRYV(node_->state.check_write(call.gate));
    auto& connection = node_->connections[call.remote];
    if (connection.transaction) {
        co_return refusal{refusal_kind::statement_failed, "a transaction is open here"};
    }
    connection.transaction = open_transaction{.gate = call.gate};
    auto done = co_await step(call);
    co_return done;
}

outcome<open_transaction*> data_calls::open_on(const data_call& call)
{
    auto& connection = node_->connections[call.remote];
    if (!connection.transaction) {
        return refusal{refusal_kind::statement_failed, "no transaction is open here"};
    }
    auto writable = node_->state.check_write(connection.transaction->gate);
    if (!writable) {
        connection.transaction.reset();
        ++node_->stats.rolled_back;
        return refusal{refusal_kind::superseded, "the transaction was rolled back"};
    }
    return &*connection.transaction;
}

net::awaitable<outcome<data_answer>> data_calls::step(const data_call& call)
{
    BOOST_OUTCOME_CO_TRYV(open_on(call));
    bool slot = co_await node_->take_slot();
    if (!slot) {
        co_return refusal{refusal_kind::busy, "no slot is free"};
    }
    co_await work(call.statements);
    node_->give_slot();
    BOOST_OUTCOME_CO_TRY(auto* open, open_on(call));
    auto all = open->statements;
    all.insert(all.end(), call.statements.begin(), call.statements.end());
    auto done = execute(node_->state.data(), all);
    if (!done) {
        co_return done.error();
    }
    data_answer answer{.at = node_->state.last()};
    for (auto row = static_cast<Json::ArrayIndex>(open->statements.size());
         row < done.value().rows.size(); ++row)
    {
        answer.rows.append(done.value().rows[row]);
    }
    open->statements = std::move(all);
    co_return answer;
}

net::awaitable<outcome<data_answer>> data_calls::commit(const data_call& call)
{
    auto first = node_->state.replay(call.key, call.digest);
    if (first && first.value() && node_->state.check_write(call.gate)) {
        ++node_->stats.replays;
        data_answer answer{
            .at = first.value()->at, .rows = first.value()->rows, .replayed = true};
        node_->connections[call.remote].transaction.reset();
        co_return answer;
    }
    BOOST_OUTCOME_CO_TRY(auto* open, open_on(call));
    auto statements = open->statements;
    statements.insert(statements.end(), call.statements.begin(), call.statements.end());
    node_->connections[call.remote].transaction.reset();
    auto done = co_await write_once(call, std::move(statements));
    co_return done;
}

net::awaitable<outcome<data_answer>> data_calls::rollback(const data_call& call)
{
    auto& connection = node_->connections[call.remote];
    if (connection.transaction) {
        ++node_->stats.rolled_back;
        connection.transaction.reset();
    }
    data_answer answer{.at = node_->state.last()};
    co_return answer;
}

net::awaitable<void> data_calls::answer(http_exchange& exchange, std::string request,
                                        data_answer done)
{
    auto& faults = node_->faults;
    if (spend(faults.lost_answers)) {
        exchange.close_after_reply();
        co_return;
    }
    auto id = spend(faults.foreign_ids) ? "not-" + request : request;
    auto response = compose(id, done);
    if (spend(faults.half_answers)) {
        co_await send_half(exchange, std::move(response));
        co_return;
    }
    auto again = response;
    bool twice = spend(faults.double_answers);
    static_cast<void>(co_await exchange.reply(std::move(response)));
    if (twice) {
        static_cast<void>(co_await exchange.reply(std::move(again)));
    }
}

net::awaitable<void> data_calls::refuse(http_exchange& exchange, refusal why)
{
    Json::Value body;
    body["error"] = std::string(to_string(why.kind));
    body["detail"] = why.detail;
    auto response = make_response(409, to_json(body));
    response.set("Papaya-Request", std::string(exchange.header("Papaya-Request")));
    response.set("Papaya-Refusal", std::string(to_string(why.kind)));
    response.set("Papaya-Position", node_->state.last().str());
    if (why.kind == refusal_kind::too_many_connections) {
        exchange.close_after_reply();
    }
    static_cast<void>(co_await exchange.reply(std::move(response)));
}

} // namespace papayadb

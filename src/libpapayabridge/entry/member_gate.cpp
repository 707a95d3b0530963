#include "member_gate.hpp"

#include "member_stream.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <openssl/rand.h>

namespace papayabridge {

namespace {

// Longer answers are streamed.
constexpr std::size_t max_buffered_answer_bytes = 64 * 1024;
// Connections kept open in addition to one per slot, for open transactions.
constexpr std::size_t spare_connections = 2;
// A transaction without a statement for this long is rolled back.
constexpr std::chrono::milliseconds transaction_idle_limit{10000};

admission_options admission_of(const member_record& member,
                               const service_settings& service,
                               const std::string& strategy)
{
    admission_options options;
    options.slots = member.slots;
    options.strategy = strategy;
    for (auto rank : all_ranks) {
        options.ranks[rank].share_percent = service.ranks[rank].share_percent;
        options.ranks[rank].queue_limit = service.ranks[rank].queue_limit;
    }
    return options;
}

struct refusal_kind
{
    std::string_view name;
    error_kind kind;
};

constexpr std::array<refusal_kind, 8> refusals{{
    {"superseded", error_kind::superseded},
    {"behind", error_kind::behind},
    {"not_primary", error_kind::superseded},
    {"leaving", error_kind::leaving},
    {"key_conflict", error_kind::key_conflict},
    {"busy", error_kind::overloaded},
    {"statement_failed", error_kind::statement_failed},
    {"too_many_connections", error_kind::overloaded},
}};

error refusal_error(const http_response_head& head, const std::string& body)
{
    auto name = head.header("Papaya-Refusal");
    for (const auto& row : refusals) {
        if (row.name == name) {
            return fail(row.kind, "the member refused the statement: " + body);
        }
    }
    return fail(error_kind::outcome_unknown,
                "the member answered with status " + std::to_string(head.status));
}

// Whether a statement outside a transaction can have an effect in this mode.
bool changes_data(statement_mode mode)
{
    return mode == statement_mode::write;
}

tcp::endpoint endpoint_of(const member_record& member)
{
    return parse_endpoint(member.endpoint).value_or(tcp::endpoint());
}

} // namespace

std::string random_hex_id()
{
    std::array<unsigned char, 16> bytes{};
    RAND_bytes(bytes.data(), bytes.size());
    std::string text;
    for (auto byte : bytes) {
        constexpr std::string_view digits = "0123456789abcdef";
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

// A statement that waits for a slot. Its timer is cancelled when the statement starts or
// is refused.
struct member_gate::waiter
{
    explicit waiter(const net::any_io_executor& executor, time_point deadline)
        : timer(executor, deadline)
    {
    }

    net::steady_timer timer;
    bool started = false;
    bool refused = false;
};

struct member_gate::open_transaction
{
    std::unique_ptr<http_connection> connection;
    time_point expires;
    time_point last_used;
    bool busy = false;

    /// When the transaction is rolled back if no further statement arrives.
    time_point rollback_time() const
    {
        return std::min(expires, last_used + transaction_idle_limit);
    }
    bool ended = false;
};

member_gate::member_gate(net::any_io_executor executor, member_gate_options options)
    : executor_(std::move(executor)), options_(std::move(options)),
      admission_(admission_of(options_.member, options_.service, options_.strategy)),
      connections_(std::make_shared<connection_set>(
          executor_, options_.links, endpoint_of(options_.member),
          options_.member.connections, options_.member.slots + spare_connections))
{
}

member_gate::~member_gate() = default;

void member_gate::open(papayabridge::term under, const member_record& member,
                       const service_settings& service)
{
    options_.member = member;
    options_.service = service;
    admission_.configure(admission_of(member, service, options_.strategy));
    term_ = under;
    open_ = true;
    connections_->reopen();
    connections_->warm_up();
    resume();
}

void member_gate::resume()
{
    paused_ = false;
    start_admitted();
}

void member_gate::close()
{
    open_ = false;
    paused_ = false;
    for (auto& [ticket, waiting] : waiters_) {
        if (!waiting->started) {
            admission_.withdraw(ticket);
            waiting->refused = true;
            waiting->timer.cancel();
        }
    }
    auto ending = transactions_;
    for (auto& [id, transaction] : ending) {
        end_transaction(id, false);
    }
    connections_->close();
}

bool member_gate::is_idle() const
{
    return admission_.running() == 0 && transactions_.empty();
}

bool member_gate::has_transaction(const std::string& id) const
{
    return transactions_.count(id) != 0;
}

void member_gate::start_admitted()
{
    if (paused_) {
        return;
    }
    for (auto ticket : admission_.start(steady_clock::now())) {
        auto found = waiters_.find(ticket);
        if (found != waiters_.end()) {
            found->second->started = true;
            found->second->timer.cancel();
        }
    }
}

void member_gate::finish_stream(std::uint64_t ticket,
                                std::unique_ptr<http_connection> connection)
{
    connections_->release(std::move(connection));
    admission_.finish(ticket, steady_clock::now());
    start_admitted();
}

net::awaitable<result<std::uint64_t>>
member_gate::wait_for_slot(const gate_request& request)
{
    admission_item item;
    item.id = next_ticket_++;
    item.rank = request.rank;
    item.caller = request.caller;
    item.arrived = steady_clock::now();
    item.deadline = request.deadline;
    item.target = item.arrived + options_.service.ranks[request.rank].target;
    auto ticket = item.id;
    auto queued = admission_.submit(item, item.arrived);
    if (!queued) {
        co_return queued.error();
    }
    auto waiting = std::make_shared<waiter>(executor_, request.deadline);
    waiters_[ticket] = waiting;
    start_admitted();
    if (!waiting->started) {
        co_await waiting->timer.async_wait(net::as_tuple(net::use_awaitable));
    }
    waiters_.erase(ticket);
    if (waiting->started) {
        co_return ticket;
    }
    admission_.withdraw(ticket);
    if (waiting->refused) {
        co_return fail(error_kind::superseded, "the gate moved while the request waited");
    }
    co_return fail(error_kind::deadline_passed,
                   "the deadline passed while the request was queued");
}

result<void> member_gate::check_accepts_work(const gate_request& request) const
{
    if (!open_) {
        return fail(error_kind::superseded, "this entry does not hold the member's gate");
    }
    if (options_.member.condition == member_condition::leaving) {
        return fail(error_kind::leaving, "the member is leaving");
    }
    if (request.deadline <= steady_clock::now()) {
        return fail(error_kind::deadline_passed,
                    "the deadline passed before the request reached the gate");
    }
    return success();
}

net::awaitable<result<member_answer>> member_gate::execute(gate_request request)
{
    auto self = shared_from_this();
    if (!request.transaction.empty()) {
        auto answer = co_await run_in_transaction(std::move(request));
        co_return answer;
    }
    auto checked = check_accepts_work(request);
    if (!checked) {
        co_return checked.error();
    }
    auto answer = co_await run_single_statement(std::move(request));
    co_return answer;
}

http_request member_gate::build_message(const gate_request& request) const
{
    auto message = make_request(http::verb::post, "/statement", request.body);
    message.set("Papaya-Request", request.request.str());
    message.set("Papaya-Mode", std::string(to_string(request.mode)));
    if (request.mode == statement_mode::read) {
        // Reads need no term: the required position makes them safe, provided the member
        // follows the primary.
        if (request.follows_term) {
            message.set("Papaya-Follows", std::to_string(request.follows_term->value()));
        }
        message.set("Papaya-Min-Position", request.min_position.str());
        message.set("Papaya-Wait-Ms", std::to_string(request.wait.count()));
    } else {
        message.set("Papaya-Term", std::to_string(term_.value()));
    }
    if (!request.key.empty()) {
        message.set("Papaya-Key", request.key);
        message.set("Papaya-Digest", request.digest);
    }
    return message;
}

// Reads a long answer only in part; the caller reads or streams the remainder.
net::awaitable<result<member_answer>>
member_gate::send_and_receive(http_connection& connection, const gate_request& request)
{
    member_answer received;
    received.term = term_;
    received.sent_at = steady_clock::now();
    auto message = build_message(request);
    auto head = co_await connection.send(std::move(message), request.deadline);
    if (!head) {
        co_return head.error();
    }
    const auto& fields = head.value();
    if (fields.status != 200) {
        auto body =
            co_await connection.read_all(max_buffered_answer_bytes, request.deadline);
        co_return refusal_error(fields, body ? body.value() : std::string());
    }
    if (fields.header("Papaya-Request") != request.request.str()) {
        connection.close();
        co_return fail(error_kind::outcome_unknown,
                       "the answer belongs to another request");
    }
    auto& answer = received.answer;
    answer.member = options_.member.id;
    answer.length = fields.length;
    answer.reached =
        parse_position(fields.header("Papaya-Position")).value_or(position{});
    answer.replayed = fields.header("Papaya-Replayed") == "1";
    if (fields.length > max_buffered_answer_bytes) {
        answer.body.resize(max_buffered_answer_bytes);
        auto first = co_await connection.read(answer.body, request.deadline);
        if (!first) {
            co_return first.error();
        }
        answer.body.resize(first.value());
        co_return received;
    }
    auto body = co_await connection.read_all(max_buffered_answer_bytes, request.deadline);
    if (!body) {
        co_return body.error();
    }
    if (body.value().size() != fields.length ||
        !ends_with_end_marker(body.value(), request.request))
    {
        connection.close();
        co_return fail(error_kind::outcome_unknown, "the answer is incomplete");
    }
    answer.body = std::move(body.value());
    co_return received;
}

net::awaitable<result<member_answer>>
member_gate::run_single_statement(gate_request request)
{
    auto ticket = co_await wait_for_slot(request);
    if (!ticket) {
        co_return ticket.error();
    }
    auto connections = connections_;
    auto connection = co_await connections->acquire(request.deadline);
    if (!connection) {
        admission_.finish(ticket.value(), steady_clock::now());
        start_admitted();
        co_return connection.error();
    }
    auto outcome = co_await send_and_receive(*connection.value(), request);
    bool begun = outcome && request.mode == statement_mode::begin;
    bool streams =
        outcome && outcome.value().answer.body.size() < outcome.value().answer.length;
    if (streams) {
        outcome.value().answer.body_stream = std::make_shared<member_stream>(
            shared_from_this(), ticket.value(), std::move(connection.value()), request,
            outcome.value().answer.body);
        co_return outcome;
    }
    if (begun) {
        auto transaction = std::make_shared<open_transaction>();
        transaction->connection = std::move(connection.value());
        transaction->expires =
            steady_clock::now() + options_.service.limits.transaction_lifetime;
        transaction->last_used = steady_clock::now();
        auto id = random_hex_id();
        transactions_[id] = transaction;
        outcome.value().answer.transaction = id;
        net::co_spawn(executor_, expire_transaction(id), net::detached);
    } else {
        connections->release(std::move(connection.value()));
    }
    admission_.finish(ticket.value(), steady_clock::now());
    start_admitted();
    if (!outcome && outcome.error().kind == error_kind::outcome_unknown &&
        !changes_data(request.mode))
    {
        // No effect is possible: closing the connection also ends what it had begun.
        co_return fail(error_kind::unreachable, outcome.error().detail);
    }
    co_return outcome;
}

net::awaitable<result<member_answer>>
member_gate::run_in_transaction(gate_request request)
{
    auto found = transactions_.find(request.transaction);
    if (found == transactions_.end()) {
        co_return fail(error_kind::transaction_lost,
                       "no such transaction is open; it was rolled back or never begun");
    }
    auto transaction = found->second;
    if (transaction->busy) {
        co_return fail(error_kind::bad_request,
                       "a statement of this transaction is still in progress");
    }
    transaction->busy = true;
    // A statement of an open transaction takes a slot like any other statement. Without a
    // slot of its own it could wait behind statements that wait for its connection.
    auto ticket = co_await wait_for_slot(request);
    if (!ticket) {
        transaction->busy = false;
        co_return ticket.error();
    }
    if (transaction->ended) {
        admission_.finish(ticket.value(), steady_clock::now());
        start_admitted();
        co_return fail(error_kind::transaction_lost, "the transaction was rolled back");
    }
    auto outcome = co_await send_and_receive(*transaction->connection, request);
    bool ends = request.mode != statement_mode::step;
    bool refused = !outcome && outcome.error().kind == error_kind::statement_failed;
    bool partial =
        outcome && outcome.value().answer.body.size() < outcome.value().answer.length;
    if (partial) {
        // A long answer is not streamed here, as the transaction keeps the connection.
        auto remainder = co_await transaction->connection->read_all(
            outcome.value().answer.length, request.deadline);
        if (remainder) {
            outcome.value().answer.body += remainder.value();
        } else {
            outcome = remainder.error();
        }
    }
    admission_.finish(ticket.value(), steady_clock::now());
    transaction->busy = false;
    transaction->last_used = steady_clock::now();
    if (ends || (!outcome && !refused)) {
        end_transaction(request.transaction, outcome.has_value());
    }
    start_admitted();
    if (!outcome && !refused && request.mode != statement_mode::commit) {
        co_return fail(error_kind::transaction_lost,
                       "the transaction was rolled back: " + outcome.error().detail);
    }
    co_return outcome;
}

void member_gate::end_transaction(const std::string& id, bool keep_connection)
{
    auto found = transactions_.find(id);
    if (found == transactions_.end()) {
        return;
    }
    auto transaction = found->second;
    transactions_.erase(found);
    transaction->ended = true;
    if (transaction->busy) {
        // The statement in progress still uses the connection and fails when it is
        // closed.
        transaction->connection->close();
        connections_->release(nullptr);
        return;
    }
    auto connection = std::move(transaction->connection);
    connections_->release(keep_connection ? std::move(connection) : nullptr);
}

net::awaitable<void> member_gate::expire_transaction(std::string id)
{
    auto self = shared_from_this();
    while (true) {
        auto found = transactions_.find(id);
        if (found == transactions_.end()) {
            co_return;
        }
        auto transaction = found->second;
        auto left = transaction->rollback_time() - steady_clock::now();
        if (left.count() <= 0 && !transaction->busy) {
            end_transaction(id, false);
            co_return;
        }
        co_await pause_for(
            std::max<std::chrono::nanoseconds>(left, std::chrono::seconds(1)));
    }
}

} // namespace papayabridge

// The memory that a session holds for its caller: unread input, the statement that runs,
// the answer that is sent, and session values.

#include "caller_session.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::size_t read_chunk_bytes = 1024;
// The input buffer doubles from this size, so that its largest size is just above that of
// the largest message instead of twice as much.
constexpr std::size_t first_input_bytes = largest_input_bytes / 1024;
// An input buffer with more capacity than this is released if it is mostly empty.
constexpr std::size_t max_idle_buffer_bytes = 4096;
// A statement that runs exists as parsed and as encoded for the member.
constexpr std::size_t copies_of_statement = 2;
// A statement at a member compares and copies the session's values: those to be sent,
// the same encoded, and the contents of the connection afterwards.
constexpr std::size_t copies_of_values = 3;
// Node of a map, two strings and the allocator's headers, measured at 200 bytes at most.
constexpr std::size_t entry_overhead_bytes = 200;

} // namespace

reclaim_candidate caller_session::as_candidate() const
{
    return {.input = holdings_.of(memory_use::input),
            .output = holdings_.of(memory_use::output),
            .values = holdings_.of(memory_use::values),
            .is_open = is_open_,
            .is_running = running_ || is_ended_,
            .is_answering = writing_,
            .has_transaction = transaction_ && transaction_->at_member,
            .last_progress = last_progress_};
}

// The reason is sent if the connection takes it at once.
void caller_session::end(const error& reason)
{
    if (!writing_) {
        std::string bytes;
        services_.caller_protocol.encode_refusal(bytes, reason);
        boost::system::error_code ignored;
        socket_.non_blocking(true, ignored);
        socket_.send(net::buffer(bytes), 0, ignored);
    }
    is_ended_ = true;
    close();
    std::string().swap(input_);
    state_.values = {};
}

tcp::endpoint caller_session::remote() const
{
    boost::system::error_code ignored;
    return socket_.remote_endpoint(ignored);
}

// Grows the input buffer for \p more bytes, unless that is refused.
std::optional<memory_refusal> caller_session::grow_input(std::size_t more)
{
    auto needed = input_.size() + more;
    if (needed <= input_.capacity()) {
        return std::nullopt;
    }
    auto capacity = first_input_bytes;
    while (capacity < needed) {
        capacity *= 2;
    }
    auto refusal = registry_.hold(*this, memory_use::input, capacity);
    if (!refusal) {
        input_.reserve(capacity);
    }
    return refusal;
}

void caller_session::shrink_input()
{
    if (input_.capacity() > max_idle_buffer_bytes &&
        input_.size() < input_.capacity() / 4) {
        std::string(input_).swap(input_);
        registry_.reduce(*this, memory_use::input, input_.capacity());
    }
}

void caller_session::release_input()
{
    std::string().swap(input_);
    registry_.reduce(*this, memory_use::input, 0);
}

net::awaitable<result<caller_message>> caller_session::read_message()
{
    bool may_be_complete = !input_.empty();
    while (true) {
        if (may_be_complete || input_.size() > statement_message_limit) {
            std::string_view remaining = input_;
            auto message = services_.caller_protocol.decode(remaining);
            if (!message) {
                co_return message.error();
            }
            if (message.value()) {
                auto decoded = std::move(*message.value());
                message_bytes_ = input_.size() - remaining.size();
                input_.erase(0, message_bytes_);
                shrink_input();
                co_return decoded;
            }
        }
        std::array<char, read_chunk_bytes> chunk{};
        auto [failed, count] =
            co_await socket_.async_read_some(net::buffer(chunk), use_tuple);
        if (failed || is_ended_) {
            co_return fail(error_kind::unreachable, failed.message());
        }
        last_progress_ = steady_clock::now();
        auto refusal = grow_input(count);
        if (refusal) {
            co_return fail(error_kind::overloaded, "no memory for the message: " +
                                                       std::string(name_of(*refusal)));
        }
        std::string_view added(chunk.data(), count);
        input_.append(added);
        may_be_complete = services_.caller_protocol.may_end_message(added);
    }
}

// Ordinary statements of sessions with few values are below the allowance and not
// accounted.
std::optional<error> caller_session::hold_statement(statement_verb verb)
{
    bool uses_values = verb == statement_verb::read || verb == statement_verb::write ||
                       verb == statement_verb::execute;
    auto values = uses_values ? holdings_.of(memory_use::values) : 0;
    if (message_bytes_ <= registry_.allowance() && values <= registry_.allowance()) {
        return std::nullopt;
    }
    auto refusal =
        registry_.hold(*this, memory_use::statement,
                       copies_of_statement * message_bytes_ + copies_of_values * values);
    if (!refusal) {
        return std::nullopt;
    }
    return fail(error_kind::overloaded,
                "no memory for the statement: " + std::string(name_of(*refusal)));
}

void caller_session::release_statement()
{
    if (holdings_.of(memory_use::statement) > 0) {
        registry_.reduce(*this, memory_use::statement, 0);
    }
}

// An answer of a read for which there is no memory until the caller has read it is
// replaced by an error; other answers are kept, because the statement had its effect.
std::string caller_session::encode_reply(statement_answer reply, statement_verb verb)
{
    std::string bytes;
    services_.caller_protocol.encode_answer(bytes, reply);
    if (bytes.capacity() <= registry_.allowance()) {
        return bytes;
    }
    auto refusal = registry_.hold(*this, memory_use::output, bytes.capacity());
    if (refusal && verb == statement_verb::read) {
        reply.rows.clear();
        reply.failure = fail(error_kind::overloaded, "no memory for the answer: " +
                                                         std::string(name_of(*refusal)));
        std::string().swap(bytes);
        services_.caller_protocol.encode_answer(bytes, reply);
    }
    return bytes;
}

net::awaitable<bool> caller_session::write(std::string bytes)
{
    writing_ = true;
    last_progress_ = steady_clock::now();
    auto [failed, count] =
        co_await net::async_write(socket_, net::buffer(bytes), use_tuple);
    writing_ = false;
    last_progress_ = steady_clock::now();
    if (holdings_.of(memory_use::output) > 0) {
        registry_.reduce(*this, memory_use::output, 0);
    }
    co_return !failed && !is_ended_;
}

// Adjusts what the session's values hold; empty if \p bytes_after in place of
// \p bytes_before is granted.
std::optional<error> caller_session::hold_values(std::size_t bytes_before,
                                                 std::size_t bytes_after)
{
    auto held = holdings_.of(memory_use::values) - bytes_before + bytes_after;
    auto refusal = registry_.hold(*this, memory_use::values, held);
    if (!refusal) {
        return std::nullopt;
    }
    return fail(error_kind::overloaded,
                "no memory for session values: " + std::string(name_of(*refusal)));
}

// Each name is stored with its data in place, so that a smaller value does not keep the
// buffer of a larger one.
net::awaitable<statement_answer> caller_session::set_value(const statement& stmt)
{
    auto& values = state_.values.values;
    auto found = values.find(stmt.name);
    if (found == values.end() && values.size() >= max_session_values) {
        co_return failed_answer(fail(error_kind::bad_request, "too many session values"));
    }
    auto size_of = [&stmt](const std::string& value) {
        return stmt.name.size() + value.size() + entry_overhead_bytes;
    };
    auto refused = hold_values(found == values.end() ? 0 : size_of(found->second),
                               size_of(stmt.value));
    if (refused) {
        co_return failed_answer(std::move(*refused));
    }
    auto copy = stmt.value;
    if (found == values.end()) {
        values.emplace(stmt.name, std::move(copy));
    } else {
        found->second.swap(copy);
    }
    co_return success_answer();
}

net::awaitable<statement_answer> caller_session::prepare(const statement& stmt)
{
    auto& prepared = state_.values.prepared;
    auto found = prepared.find(stmt.name);
    if (found == prepared.end() && prepared.size() >= max_session_values) {
        co_return failed_answer(fail(error_kind::bad_request, "too many prepared names"));
    }
    auto size_of = [&stmt](const prepared_shape& shape) {
        return stmt.name.size() + shape.shape.size() + entry_overhead_bytes;
    };
    auto refused = hold_values(found == prepared.end() ? 0 : size_of(found->second),
                               size_of(stmt.prepared));
    if (refused) {
        co_return failed_answer(std::move(*refused));
    }
    auto copy = stmt.prepared;
    if (found == prepared.end()) {
        prepared.emplace(stmt.name, std::move(copy));
    } else {
        std::swap(found->second, copy);
    }
    co_return success_answer();
}

net::awaitable<statement_answer> caller_session::close_prepared(const statement& stmt)
{
    auto& prepared = state_.values.prepared;
    auto found = prepared.find(stmt.name);
    if (found != prepared.end()) {
        auto bytes = stmt.name.size() + found->second.shape.size() + entry_overhead_bytes;
        registry_.reduce(*this, memory_use::values,
                         holdings_.of(memory_use::values) - bytes);
        prepared.erase(found);
    }
    co_return success_answer();
}

} // namespace papayabridge

#include "member_connection.hpp"

#include "net/tcp_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::size_t read_chunk_bytes = 4096;
// Limits the rows of one answer; a larger answer is refused as a whole.
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;

// An empty buffer with more capacity is released; ordinary answers fit into 16 reads.
constexpr std::size_t max_idle_buffer_bytes = 64 * 1024;

} // namespace

member_connection::member_connection(net::any_io_executor executor,
                                     const member_codec& codec, member_address address)
    : socket_(executor), codec_(codec), address_(std::move(address))
{
}

net::awaitable<result<std::unique_ptr<member_connection>>>
member_connection::open(net::any_io_executor executor, const member_codec& codec,
                        member_address address, time_point deadline, bool* refused)
{
    std::unique_ptr<member_connection> connection(
        new member_connection(executor, codec, std::move(address)));
    connection->socket_.expires_at(deadline);
    auto endpoint = connection->address_.endpoint;
    auto [failed] =
        co_await connection->socket_.socket().async_connect(endpoint, use_tuple);
    if (refused != nullptr) {
        *refused = failed == net::error::connection_refused;
    }
    if (failed) {
        co_return fail(error_kind::unreachable, connection->address_.id.str() + " at " +
                                                    to_string(endpoint) + ": " +
                                                    failed.message());
    }
    set_liveness_options(connection->socket_.socket());
    auto started = co_await connection->start_session(deadline);
    if (!started) {
        co_return started.error();
    }
    co_return connection;
}

net::awaitable<result<void>> member_connection::start_session(time_point deadline)
{
    std::string opening;
    codec_.encode_opening(opening, address_.service, address_.id, address_.account);
    auto sent = co_await send(std::move(opening), deadline);
    if (!sent) {
        co_return sent;
    }
    auto answer = co_await read_message();
    if (!answer) {
        co_return fail(error_kind::unreachable, answer.error().detail);
    }
    if (const auto* refusal = std::get_if<answer_failure>(&answer.value())) {
        co_return refusal->cause;
    }
    if (!std::holds_alternative<answer_end>(answer.value())) {
        co_return fail(error_kind::unreachable,
                       "unexpected answer to the opening message");
    }
    co_return success();
}

net::awaitable<result<void>> member_connection::send(std::string bytes,
                                                     time_point deadline)
{
    socket_.expires_at(deadline);
    auto [failed, count] =
        co_await net::async_write(socket_.socket(), net::buffer(bytes), use_tuple);
    if (failed) {
        // The statement cannot have run if no byte of it was sent.
        auto kind = count == 0 ? error_kind::unreachable : error_kind::outcome_unknown;
        co_return fail(kind, "sending to " + address_.id.str() + ": " + failed.message());
    }
    co_return success();
}

net::awaitable<result<member_message>> member_connection::read_message()
{
    while (true) {
        auto remaining = std::string_view(input_).substr(consumed_);
        auto size_before = remaining.size();
        auto message = codec_.decode(remaining);
        if (!message) {
            co_return message.error();
        }
        consumed_ += size_before - remaining.size();
        if (message.value()) {
            co_return std::move(*message.value());
        }
        input_.erase(0, consumed_);
        consumed_ = 0;
        auto buffered = input_.size();
        input_.resize(buffered + read_chunk_bytes);
        auto [failed, count] = co_await socket_.socket().async_read_some(
            net::buffer(input_.data() + buffered, read_chunk_bytes), use_tuple);
        input_.resize(buffered + count);
        if (failed) {
            co_return fail(error_kind::outcome_unknown,
                           address_.id.str() + ": " + failed.message());
        }
    }
}

net::awaitable<result<statement_answer>> member_connection::receive(time_point deadline)
{
    socket_.expires_at(deadline);
    statement_answer answer;
    bool complete = false;
    std::size_t bytes = 0;
    while (true) {
        auto message = co_await read_message();
        if (!message) {
            co_return fail(error_kind::outcome_unknown, message.error().detail);
        }
        if (auto* row = std::get_if<answer_row>(&message.value())) {
            bytes += row->text.size();
            if (bytes > max_answer_bytes) {
                co_return fail(error_kind::outcome_unknown, "the answer is too large");
            }
            answer.rows.push_back(std::move(row->text));
        } else if (auto* done = std::get_if<answer_complete>(&message.value())) {
            answer.receipt = std::move(done->receipt);
            complete = true;
        } else if (auto* failed = std::get_if<answer_failure>(&message.value())) {
            answer.failure = std::move(failed->cause);
        } else if (const auto* end = std::get_if<answer_end>(&message.value())) {
            answer.phase = end->phase;
            answer.log_position = end->log_position;
            break;
        }
    }
    if (!complete && !answer.failure) {
        co_return fail(error_kind::outcome_unknown,
                       "the answer has neither a result nor an error");
    }
    if (input_.size() == consumed_) {
        input_.clear();
        consumed_ = 0;
        if (input_.capacity() > max_idle_buffer_bytes) {
            input_.shrink_to_fit();
        }
    }
    socket_.expires_never();
    co_return answer;
}

bool member_connection::is_reusable()
{
    if (!socket_.socket().is_open() || consumed_ != input_.size()) {
        return false;
    }
    char byte = 0;
    auto count =
        ::recv(socket_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace papayabridge

/// \file gate_request.hpp
/// One statement on its way from the caller's entry to a member's gate, and its answer.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <papayabridge/error.hpp>
#include <papayabridge/http.hpp>
#include <papayabridge/ids.hpp>
#include <papayabridge/rank.hpp>
#include <papayabridge/token.hpp>
#include <span>
#include <string>

namespace papayabridge {

/// What a statement does to its connection.
enum class statement_mode
{
    read,
    write,
    begin,
    step,
    commit,
    rollback
};
std::string_view to_string(statement_mode mode) noexcept;
std::optional<statement_mode> parse_statement_mode(std::string_view name) noexcept;

/// A statement for one member.
struct gate_request
{
    papayabridge::request_id request;
    database_key database;
    /// Empty: whichever member is the primary.
    member_id member;
    statement_mode mode = statement_mode::read;
    papayabridge::rank rank = rank::normal;
    caller_id caller;
    time_point deadline;
    /// Reads: the session's mark.
    position min_position;
    /// Reads: accepted age; 0 is fresh, nothing means the session's mark suffices.
    std::optional<std::chrono::milliseconds> accepted_age;
    /// Reads: how long the member may wait to reach the position.
    std::chrono::milliseconds wait{0};
    /// Reads at a replica: set by its gate; the member must follow that term's primary.
    std::optional<papayabridge::term> follows;
    std::string key;
    std::string digest;
    /// Statements of a transaction: its id.
    std::string transaction;
    /// JSON body for the member.
    std::string body;
};

/// The rest of an answer that is too long to hold.
class answer_stream
{
public:
    virtual ~answer_stream() = default;

    /// The next piece; 0 bytes at the end, once the whole answer proved well-formed.
    virtual net::awaitable<result<std::size_t>> read(std::span<char> into) = 0;
};

/// The answer of a member.
struct gate_answer
{
    /// Position of the write, or of the data read.
    position reached;
    member_id member;
    bool primary = false;
    /// Whether the idempotency key had run before.
    bool replayed = false;
    /// Set by `begin`.
    std::string transaction;
    /// Bytes of the whole body.
    std::uint64_t length = 0;
    /// The body, or its first part if there is more.
    std::string body;
    /// Where the rest comes from; null if `body` is whole.
    std::shared_ptr<answer_stream> rest;
};

/// Whether \p body ends with the mark of \p request.
bool ends_with_mark(std::string_view body, const request_id& request);
/// Bytes of that mark.
std::size_t mark_length(const request_id& request);

/// The request as HTTP between entries, signed with \p key.
http_request to_http(const gate_request& request, const token_codec& key);
/// Reads and checks such a request. `unauthorized` if the signature is wrong.
result<gate_request> gate_request_from(const http_exchange& exchange,
                                       const token_codec& key);
/// The head of the answer to it; the body follows.
http_response to_http(const gate_answer& answer);
/// Reads such a head; the body is not set.
gate_answer gate_answer_from(const http_response_head& head);
/// An error as an answer between entries, and back.
http_response to_http(const error& problem);
error error_from(const http_response_head& head);

} // namespace papayabridge

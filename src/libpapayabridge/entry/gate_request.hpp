/// \file gate_request.hpp
/// A statement that the caller's entry sends to a member's gate, and the answer. The gate
/// may be at the same entry or at another one, which is reached over HTTP.

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

/// How a statement uses its connection.
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
    /// Empty for the primary, whichever member it is.
    member_id member;
    statement_mode mode = statement_mode::read;
    papayabridge::rank rank = rank::normal;
    caller_id caller;
    time_point deadline;
    /// Reads: the session's watermark, which the member must have reached.
    position min_position;
    /// Reads: the highest accepted age; 0 requires the primary. Empty if any data at or
    /// after `min_position` is accepted.
    std::optional<std::chrono::milliseconds> accepted_age;
    /// Reads: how long the member may wait to reach `min_position`.
    std::chrono::milliseconds wait{0};
    /// Reads at a replica: the member must follow the primary of this term. Set by the
    /// gate.
    std::optional<papayabridge::term> follows_term;
    std::string key;
    std::string digest;
    /// Id of the open transaction that the statement belongs to; empty for none.
    std::string transaction;
    /// JSON body that is sent to the member.
    std::string body;
};

/// Remaining body of an answer that is too long to buffer.
class answer_stream
{
public:
    virtual ~answer_stream() = default;

    /// Reads the next bytes of the body. Returns 0 at the end of a complete answer and
    /// fails if the answer is incomplete.
    virtual net::awaitable<result<std::size_t>> read(std::span<char> into) = 0;
};

/// The answer of a member.
struct gate_answer
{
    /// Position of the write, or of the data read.
    position reached;
    member_id member;
    bool primary = false;
    /// Whether the key had run before, so that this is the stored answer.
    bool replayed = false;
    /// Id of the transaction that `begin` opened.
    std::string transaction;
    /// Length of the whole body in bytes.
    std::uint64_t length = 0;
    /// The whole body, or its first part if `body_stream` is set.
    std::string body;
    /// Source of the remaining body; null if `body` is complete.
    std::shared_ptr<answer_stream> body_stream;
};

/// Whether \p body ends with the end marker of \p request, which proves that the answer
/// is complete and belongs to the request.
bool ends_with_end_marker(std::string_view body, const request_id& request);
/// Length of that marker in bytes.
std::size_t end_marker_length(const request_id& request);

/// Writes a request as HTTP between entries, signed with \p codec.
http_request to_http(const gate_request& request, const token_codec& codec);
/// Reads such a request. Fails with `unauthorized` if the signature is wrong.
result<gate_request> gate_request_from(const http_exchange& exchange,
                                       const token_codec& codec);
/// Writes the head of an answer; the body is sent after it.
http_response to_http(const gate_answer& answer);
/// Reads such a head; `body` and `body_stream` are not set.
gate_answer gate_answer_from(const http_response_head& head);
/// Writes an error as an answer between entries.
http_response to_http(const error& problem);
/// Reads the kind of such an error; the detail is in the body.
error error_from(const http_response_head& head);

} // namespace papayabridge

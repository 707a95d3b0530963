/// \file caller_request.hpp
/// Parses the JSON body of a caller's HTTP request; see docs/API.md.

#pragma once

#include "gate_request.hpp"

#include <papayabridge/configuration.hpp>

namespace papayabridge {

/// One statement, or a batch of statements that the member runs together.
struct caller_request
{
    bool write = false;
    papayabridge::rank rank = rank::normal;
    caller_id caller;
    std::chrono::milliseconds deadline{0};
    /// Reads: the highest accepted age of the data; 0 requires the primary. Empty if any
    /// data at or after the session's watermark is accepted.
    std::optional<std::chrono::milliseconds> accepted_age;
    /// Idempotency key; empty for none.
    std::string key;
    /// Whether the statement may safely run more than once.
    bool repeatable = false;
    /// JSON body that is sent to the member.
    std::string member_body;
    /// Digest of statements and mode. A key that is reused with another digest is
    /// refused.
    std::string digest;
};

/// Kinds of request bodies.
enum class caller_body_kind
{
    statement, ///< A statement outside a transaction.
    step,      ///< A statement inside an open transaction.
    control,   ///< Begin, commit or rollback; the body may be empty.
};

/// Parses \p body. A `bad_request` error names the invalid field and what it accepts.
result<caller_request> read_caller_request(std::string_view body, caller_body_kind kind,
                                           const service_settings& service);

} // namespace papayabridge

/// \file error.hpp
/// Error kinds and how each is answered to a caller.
///
/// Every failure in the library is an `error`: a kind and a message that says what
/// happened and where. Functions that can fail return `result<T>`.

#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <span>
#include <string>
#include <string_view>

namespace papayabridge {

/// What went wrong. The list is closed: error_answers() has one row for each kind.
enum class error_kind
{
    bad_request,         ///< The request is malformed or names an unknown option.
    bad_token,           ///< The session token is forged, truncated or foreign.
    too_large,           ///< A header, body or answer exceeds its limit.
    not_found,           ///< No such service, database or transaction.
    key_conflict,        ///< The idempotency key was used with another request.
    unauthorized,        ///< Fleet authentication is missing or wrong.
    overloaded,          ///< A queue is full or a caller is at its limit.
    deadline_unmeetable, ///< The deadline cannot be met; refused, not run.
    deadline_passed,     ///< The deadline passed before the request ran.
    no_primary,          ///< No primary is available before the deadline.
    too_stale,           ///< No reachable member has data recent enough.
    behind,              ///< This member has not reached the required position.
    superseded,          ///< The term was superseded; not run here.
    leaving,             ///< The member or entry accepts no new requests.
    unreachable,         ///< The peer could not be reached; nothing was sent.
    not_leader,          ///< This keeper is not the leader.
    no_quorum,           ///< No majority of the keepers can be reached.
    version_conflict,    ///< Another change was based on the same version.
    storage_failed,      ///< The disk is full or a sync failed.
    statement_failed,    ///< The database refused the statement; no effect.
    transaction_lost,    ///< The transaction was rolled back; start it again.
    outcome_unknown,     ///< It may or may not have run; retry with its key.
    internal,            ///< A bug; whether it ran is unknown.
};

/// Whether the request had an effect.
enum class ran_state
{
    no,
    yes,
    unknown
};

/// What a caller may do next.
enum class retry_advice
{
    never,         ///< The same request will fail again.
    after_change,  ///< Retry after correcting the request.
    now,           ///< Retry at once.
    later,         ///< Retry after a short wait.
    same_key_only, ///< Retry only with the same idempotency key.
};

/// The answer to a caller for one error kind.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    unsigned http_status;
    ran_state ran;
    retry_advice advice;
};

/// All answers, in the order of error_kind.
std::span<const error_answer> error_answers() noexcept;
/// The answer for \p kind.
const error_answer& answer_of(error_kind kind) noexcept;
/// The kind with the name \p name; `internal` if there is none.
error_kind error_kind_of(std::string_view name) noexcept;
/// Returns "no", "yes" or "unknown".
std::string_view to_string(ran_state ran) noexcept;
/// The name of \p advice in snake_case, such as "after_change".
std::string_view to_string(retry_advice advice) noexcept;

/// A failure.
struct error
{
    error_kind kind = error_kind::internal;
    std::string detail;

    /// Returns "kind: detail".
    std::string str() const;
};

/// A value or an error.
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, error>;

using BOOST_OUTCOME_V2_NAMESPACE::success;

/// Makes an error; converts to a failed result.
inline error fail(error_kind kind, std::string detail)
{
    return error{kind, std::move(detail)};
}

} // namespace papayabridge

/// \file refusal.hpp
/// Why a member did not run a request; the names go into `Papaya-Refusal`.

#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace papayadb {

/// Reasons of the member protocol. Closed list.
enum class refusal_kind
{
    superseded,
    behind,
    not_primary,
    leaving,
    key_conflict,
    busy,
    statement_failed,
    too_many_connections,
};

/// The kind as it is sent.
std::string_view to_string(refusal_kind kind) noexcept;

/// One refusal: nothing ran.
struct refusal
{
    refusal_kind kind = refusal_kind::busy;
    std::string detail;
};

/// A value or a refusal.
template <class T>
using outcome = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, refusal>;
using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace papayadb

/// \file token_home.hpp
/// Interface through which the server for other entries reaches the token buckets of the
/// accounts whose home this entry is.

#pragma once

#include "core/accounts/rate_limit.hpp"

namespace papayabridge {

/// Grants tokens of accounts.
class token_home
{
public:
    virtual ~token_home() = default;

    /// Returns one grant a request, in the same order. \p from tells the askers apart; 0
    /// is this entry.
    virtual std::vector<token_grant>
    grant(token_bucket::asker from, const std::vector<token_request>& requests) = 0;
};

} // namespace papayabridge

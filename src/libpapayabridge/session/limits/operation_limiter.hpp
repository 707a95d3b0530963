/// \file operation_limiter.hpp
/// Interface through which sessions ask whether an operation is within the limit of its
/// client account over all entries.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <papayabridge/links.hpp>
#include <papayabridge/pooled_configuration.hpp>

namespace papayabridge {

/// Whether an operation may run.
struct limit_decision
{
    bool is_admitted = true;
    /// If it may not: the time after which the account has room for an operation.
    std::chrono::milliseconds retry_after{0};
};

/// Admits operations: a statement outside of a transaction, or a whole transaction.
class operation_limiter
{
public:
    virtual ~operation_limiter() = default;

    /// Asks for one operation of \p account before anything of it is sent to a member.
    /// Answers by \p deadline.
    virtual net::awaitable<limit_decision> admit(account_name account,
                                                 time_point deadline) = 0;
};

} // namespace papayabridge

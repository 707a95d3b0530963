/// \file fleet_limiter.hpp
/// Keeps the limits of client accounts over all entries: asks the home of an account for
/// tokens, and is the home of some accounts itself. Decisions are in
/// core/accounts/rate_limit.

#pragma once

#include "core/routing/position_samples.hpp"
#include "operation_limiter.hpp"
#include "session/pool_view.hpp"
#include "token_home.hpp"

#include <papayabridge/token.hpp>

namespace papayabridge {

/// Options of a fleet_limiter.
struct fleet_limiter_options
{
    net::any_io_executor executor;
    /// This entry.
    entry_id self;
    token_codec fleet_key;
    /// Time since boot, including time suspended.
    boot_time (*now)() = &boottime_now;
};

/// Limits the accounts that have a rate; all others are admitted at once. Must be used on
/// one thread.
class fleet_limiter : public operation_limiter, public token_home
{
public:
    explicit fleet_limiter(fleet_limiter_options options);
    ~fleet_limiter() override;

    /// Adopts the accounts and entries of \p view.
    void update(std::shared_ptr<const pool_view> view);
    /// Must be called regularly, so that a suspension of this process is noticed.
    void check();

    net::awaitable<limit_decision> admit(account_name account,
                                         time_point deadline) override;
    std::vector<token_grant> grant(token_bucket::asker from,
                                   const std::vector<token_request>& requests) override;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace papayabridge

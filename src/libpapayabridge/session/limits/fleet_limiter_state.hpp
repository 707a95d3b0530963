/// \file fleet_limiter_state.hpp
/// What a fleet_limiter knows of accounts and their homes.

#pragma once

#include "fleet_limiter.hpp"
#include "limit_report.hpp"
#include "session/gate/gate_link.hpp"

#include <boost/asio/steady_timer.hpp>

namespace papayabridge {

/// An account with a limit.
struct limited_account
{
    explicit limited_account(account_name account)
        : name(std::move(account)), counters(account_counters::of(name))
    {
    }

    account_name name;
    client_account limit;
    entry_id home;
    /// The entry that is the home after this one.
    entry_id next_home;
    entry_tokens tokens;
    account_counters counters;
    unsigned waiting = 0;
    std::vector<std::shared_ptr<net::steady_timer>> waiters;
    /// Whether a request to the home is queued or not answered yet.
    bool is_asked = false;
    /// Whether the last request went to the next home.
    bool asks_next = false;
    /// An answer of an earlier home counts no more.
    unsigned home_changes = 0;
    std::optional<boot_time> last_refusal;

    void wake_waiters()
    {
        for (const auto& waiter : std::exchange(waiters, {})) {
            waiter->cancel();
        }
    }
};

/// Another entry that is the home of accounts.
struct remote_home
{
    std::shared_ptr<gate_link> link;
    boot_time link_made_at{0};
    std::vector<std::shared_ptr<limited_account>> queue;
    unsigned unanswered = 0;
    std::optional<boot_time> silent_since;
    boot_time last_used{0};
};

struct fleet_limiter::state
{
    fleet_limiter_options options;
    /// Null before the first one.
    std::shared_ptr<const pool_view> view;
    std::map<account_name, std::shared_ptr<limited_account>> accounts;
    /// Of the accounts whose home this entry is.
    std::map<account_name, token_bucket> buckets;
    std::map<entry_id, std::shared_ptr<remote_home>> homes;
    boot_time last_check{0};

    boot_time now() const { return options.now(); }
    std::shared_ptr<limited_account> find(const account_name& name) const;
    void adopt(const std::shared_ptr<const pool_view>& next);
    void adopt_homes(limited_account& account, const std::vector<entry_id>& entries);
    void remove_accounts(const pool_view& next);
    void notice_suspension();
    std::vector<token_grant> grant(token_bucket::asker from,
                                   const std::vector<token_request>& requests);
    std::shared_ptr<remote_home> reach(const entry_id& id);
    std::shared_ptr<remote_home> home_to_ask(limited_account& account);
    void record_refusal(limited_account& account);
};

} // namespace papayabridge

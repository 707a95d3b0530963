// The accounts and homes of a fleet_limiter, and the buckets that it keeps as a home.

#include "fleet_limiter_state.hpp"

#include <cmath>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

// If a home has not answered for this long, the next entry is asked, which grants only if
// its own view says that it is the home.
constexpr milliseconds home_lost_after{1000};
// Time between two calls of check() after which the process was suspended, or blocked for
// so long that another entry may have become the home.
constexpr milliseconds suspension_gap{600};
// An account is reported as refused again if it was not refused for this long.
constexpr milliseconds refusal_pause{10'000};

bool is_limited(const pool_view& view, const account_name& account)
{
    auto found = view.configuration.accounts.find(account);
    return found != view.configuration.accounts.end() &&
           found->second.operations_per_second > 0;
}

// Without entries that can be asked, each entry keeps its part of the limit.
client_account part_of(const pool_view& view, client_account limit)
{
    if (view.gate_entries.empty()) {
        limit.operations_per_second /= static_cast<double>(view.entries);
        limit.burst /= static_cast<double>(view.entries);
    }
    return limit;
}

} // namespace

std::shared_ptr<limited_account>
fleet_limiter::state::find(const account_name& name) const
{
    auto found = accounts.find(name);
    return found == accounts.end() ? nullptr : found->second;
}

void fleet_limiter::state::remove_accounts(const pool_view& next)
{
    std::erase_if(accounts, [&](const auto& row) {
        if (is_limited(next, row.first)) {
            return false;
        }
        row.second->wake_waiters();
        buckets.erase(row.first);
        return true;
    });
}

void fleet_limiter::state::adopt(const std::shared_ptr<const pool_view>& next)
{
    remove_accounts(*next);
    bool has_limits = std::any_of(
        next->configuration.accounts.begin(), next->configuration.accounts.end(),
        [&](const auto& row) { return row.second.operations_per_second > 0; });
    if (!has_limits) {
        homes.clear();
        view = next;
        return;
    }
    if (accounts.empty()) {
        last_check = now();
    }
    notice_suspension();
    bool same_entries = view && view->gate_entries == next->gate_entries;
    std::vector<entry_id> entries;
    for (const auto& [id, entry] : next->gate_entries) {
        entries.push_back(id);
    }
    auto before = std::exchange(view, next);
    for (const auto& [name, limit] : next->configuration.accounts) {
        if (limit.operations_per_second <= 0) {
            continue;
        }
        auto& account = accounts[name];
        bool is_new = !account;
        if (is_new) {
            account = std::make_shared<limited_account>(name);
        }
        account->limit = part_of(*next, limit);
        if (is_new || !same_entries) {
            adopt_homes(*account, entries);
        }
        if (account->home != options.self) {
            buckets.erase(name);
        } else if (buckets.count(name) == 0) {
            bool was_unlimited = before && !is_limited(*before, name);
            // The fleet still lists this entry as up, so no other one has been the home
            // since its previous run, and its own grants ended with that.
            bool was_home = !before && next->gate_entries.count(options.self) != 0;
            buckets.emplace(name, was_unlimited
                                      ? token_bucket::full(account->limit, now())
                                  : was_home ? token_bucket::resumed(now())
                                             : token_bucket(now()));
        }
    }
    std::erase_if(
        homes, [&](const auto& row) { return next->gate_entries.count(row.first) == 0; });
}

void fleet_limiter::state::adopt_homes(limited_account& account,
                                       const std::vector<entry_id>& entries)
{
    auto ordered = order_homes(account.name, entries, 2);
    auto home = ordered.empty() ? options.self : ordered.front();
    account.next_home = ordered.size() > 1 ? ordered.back() : entry_id();
    if (account.home != home) {
        account.home = home;
        account.tokens.forget_home();
        account.is_asked = false;
        ++account.home_changes;
        account.wake_waiters();
    }
}

// Another entry may have granted from buckets of its own since the last check.
void fleet_limiter::state::notice_suspension()
{
    auto at = now();
    if (at - last_check > suspension_gap) {
        for (auto& [name, bucket] : buckets) {
            bucket = token_bucket(at);
        }
    }
    last_check = at;
}

std::vector<token_grant>
fleet_limiter::state::grant(token_bucket::asker from,
                            const std::vector<token_request>& requests)
{
    notice_suspension();
    std::vector<token_grant> grants;
    grants.reserve(requests.size());
    for (const auto& request : requests) {
        auto account = find(request.account);
        auto bucket = buckets.find(request.account);
        if (!account) {
            // The asker has a configuration that is not yet, or no longer, in force here.
            grants.push_back({.granted = request.wanted});
        } else if (bucket == buckets.end()) {
            grants.emplace_back();
        } else {
            grants.push_back(bucket->second.grant(account->limit, from, request, now()));
        }
        limit_counters::process().granted.add(grants.back().granted);
    }
    return grants;
}

std::shared_ptr<remote_home> fleet_limiter::state::reach(const entry_id& id)
{
    auto entry = view->gate_entries.find(id);
    if (id == options.self || entry == view->gate_entries.end()) {
        return nullptr;
    }
    auto& home = homes[id];
    if (!home) {
        home = std::make_shared<remote_home>();
    }
    const auto& endpoint = entry->second.endpoint;
    if (!home->link || home->link->endpoint() != endpoint) {
        home->link = std::make_shared<gate_link>(options.executor, id, endpoint,
                                                 options.fleet_key);
        home->link_made_at = now();
    }
    return home;
}

std::shared_ptr<remote_home> fleet_limiter::state::home_to_ask(limited_account& account)
{
    auto home = reach(account.home);
    bool is_lost =
        home && home->silent_since && now() - *home->silent_since > home_lost_after;
    account.asks_next = is_lost && !account.asks_next;
    auto next = account.asks_next ? reach(account.next_home) : nullptr;
    return next ? next : home;
}

void fleet_limiter::state::record_refusal(limited_account& account)
{
    auto at = now();
    bool is_first = !account.last_refusal || at - *account.last_refusal > refusal_pause;
    account.last_refusal = at;
    account.counters.refused.add();
    if (is_first) {
        log_line(
            log_event::account_refused,
            {{"account", account.name.str()},
             {"version", log_number(view->configuration.version.value())},
             {"limit", log_number(std::llround(account.limit.operations_per_second))},
             {"home", account.home.str()},
             {"detail", account.tokens.is_home_silent() ? "the home does not answer"
                                                        : "the limit is reached"}});
    }
}

} // namespace papayabridge

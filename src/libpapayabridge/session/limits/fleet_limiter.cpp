#include "fleet_limiter.hpp"

#include "limit_report.hpp"
#include "session/gate/gate_link.hpp"

#include <papayabridge/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
// An answer that takes longer brings tokens that have expired.
constexpr milliseconds answer_timeout{150};
// How long a request waits for those of other accounts while another one to the same home
// is not answered yet. Short compared with the latency of a statement.
constexpr milliseconds batch_time{3};
// A home that has not answered for this long is asked over a new connection: the old one
// may resend with long pauses.
constexpr milliseconds reconnect_after{450};
// If a home has not answered for this long, the next entry is asked, which grants only if
// its own view says that it is the home.
constexpr milliseconds home_lost_after{1000};
// A link that was not used for this long is closed; its keepalive costs bytes.
constexpr milliseconds link_idle_time{30'000};
// Time between two calls of check() after which the process was suspended, or blocked for
// so long that another entry may have become the home.
constexpr milliseconds suspension_gap{600};
// An account is reported as refused again if it was not refused for this long.
constexpr milliseconds refusal_pause{10'000};

// An account with a limit.
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

// Another entry that is the home of accounts.
struct remote_home
{
    std::shared_ptr<gate_link> link;
    std::vector<std::shared_ptr<limited_account>> queue;
    unsigned unanswered = 0;
    std::optional<boot_time> silent_since;
    boot_time last_used{0};
};

} // namespace

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

namespace {

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
            buckets.emplace(name, was_unlimited
                                      ? token_bucket::full(account->limit, now())
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
            grants.push_back(bucket->second.grant(account->limit, from, request.wanted,
                                                  request.overspent, now()));
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

namespace {

using shared_state = std::shared_ptr<fleet_limiter::state>;

void record_grant(limited_account& account, const token_grant& grant, boot_time sent_at,
                  boot_time now)
{
    bool is_from_home = grant.granted > 0 || grant.retry_after.count() > 0;
    if (is_from_home) {
        account.tokens.record_answer(grant, sent_at, now);
    } else {
        account.tokens.record_silence(now);
    }
}

void record_contact(remote_home& home, bool answered, boot_time now)
{
    if (answered) {
        home.silent_since.reset();
        return;
    }
    limit_counters::process().unanswered_requests.add();
    if (!home.silent_since) {
        home.silent_since = now;
    } else if (now - *home.silent_since > reconnect_after) {
        home.link.reset();
    }
}

// A request for the accounts that were queued for one home.
struct sent_requests
{
    boot_time at;
    std::vector<token_request> requests;
    std::vector<std::shared_ptr<limited_account>> accounts;
    /// The number of home changes of each account when it was sent.
    std::vector<unsigned> home_changes;
};

sent_requests take_queue(remote_home& home, boot_time now)
{
    sent_requests sent{.at = now, .accounts = std::exchange(home.queue, {})};
    for (const auto& account : sent.accounts) {
        auto wanted = account->tokens.wanted(std::max(1U, account->waiting), now);
        sent.requests.push_back({.account = account->name,
                                 .wanted = std::max(1U, wanted),
                                 .overspent = account->tokens.unreported()});
        sent.home_changes.push_back(account->home_changes);
    }
    return sent;
}

void record_answers(const sent_requests& sent,
                    const result<std::vector<token_grant>>& answers, boot_time now)
{
    bool answered = answers && answers.value().size() == sent.accounts.size();
    for (std::size_t i = 0; i < sent.accounts.size(); ++i) {
        auto& account = *sent.accounts[i];
        if (account.home_changes != sent.home_changes[i]) {
            continue;
        }
        if (answered) {
            account.tokens.record_reported(sent.requests[i].overspent);
            record_grant(account, answers.value()[i], sent.at, now);
        } else {
            account.tokens.record_silence(now);
        }
        account.is_asked = false;
        account.wake_waiters();
    }
}

net::awaitable<void> send_requests(shared_state limits, std::shared_ptr<remote_home> home)
{
    if (home->unanswered > 0) {
        net::steady_timer timer(limits->options.executor, batch_time);
        co_await timer.async_wait(use_tuple);
    } else {
        // Operations that arrived in the same turn share a request.
        co_await net::post(limits->options.executor, net::use_awaitable);
    }
    auto sent = take_queue(*home, limits->now());
    auto link = home->link;
    result<std::vector<token_grant>> answers =
        fail(error_kind::unreachable, "the home has left");
    if (link) {
        ++home->unanswered;
        home->last_used = sent.at;
        limit_counters::process().requests.add();
        answers = co_await link->request_tokens(sent.requests,
                                                steady_clock::now() + answer_timeout);
        --home->unanswered;
    }
    auto now = limits->now();
    record_contact(*home, bool(answers), now);
    record_answers(sent, answers, now);
}

// Asks the home for tokens if they are needed for \p waiting operations or ahead of need.
void ask(const shared_state& limits, const std::shared_ptr<limited_account>& account,
         unsigned waiting)
{
    auto now = limits->now();
    auto wanted = account->tokens.wanted(waiting, now);
    if (account->is_asked || wanted == 0) {
        return;
    }
    if (account->home == limits->options.self) {
        std::vector<token_request> requests{{.account = account->name,
                                             .wanted = wanted,
                                             .overspent = account->tokens.unreported()}};
        auto grant = limits->grant(0, requests).front();
        account->tokens.record_reported(requests.front().overspent);
        record_grant(*account, grant, now, now);
        return;
    }
    auto home = limits->home_to_ask(*account);
    if (!home) {
        account->tokens.record_silence(now);
        return;
    }
    account->is_asked = true;
    home->queue.push_back(account);
    if (home->queue.size() == 1) {
        net::co_spawn(limits->options.executor, send_requests(limits, home),
                      net::detached);
    }
}

} // namespace

fleet_limiter::fleet_limiter(fleet_limiter_options options)
    : state_(std::make_shared<state>(state{.options = std::move(options)}))
{
}

fleet_limiter::~fleet_limiter()
{
    for (const auto& [name, account] : state_->accounts) {
        account->wake_waiters();
    }
    state_->accounts.clear();
    state_->homes.clear();
}

void fleet_limiter::update(std::shared_ptr<const pool_view> view)
{
    state_->adopt(view);
}

void fleet_limiter::check()
{
    if (state_->accounts.empty()) {
        return;
    }
    state_->notice_suspension();
    auto unused_since = state_->now() - link_idle_time;
    std::erase_if(state_->homes, [&](const auto& row) {
        return row.second->last_used < unused_since && row.second->queue.empty() &&
               row.second->unanswered == 0;
    });
}

std::vector<token_grant> fleet_limiter::grant(token_bucket::asker from,
                                              const std::vector<token_request>& requests)
{
    return state_->grant(from, requests);
}

net::awaitable<limit_decision> fleet_limiter::admit(account_name name,
                                                    time_point deadline)
{
    auto limits = state_;
    auto account = limits->find(name);
    if (account) {
        account->tokens.record_arrival(limits->now());
    }
    while (account) {
        auto without_token = account->tokens.unreported();
        auto step = account->tokens.decide(limits->now());
        if (step == operation_step::admit) {
            account->counters.admitted.add();
            limit_counters::process().without_token.add(account->tokens.unreported() -
                                                        without_token);
            ask(limits, account, 0);
            co_return limit_decision{};
        }
        if (step == operation_step::refuse || steady_clock::now() >= deadline) {
            // A silent home is asked again for the operations that follow.
            ask(limits, account, 1);
            limits->record_refusal(*account);
            co_return limit_decision{.is_admitted = false,
                                     .retry_after =
                                         account->tokens.retry_after(limits->now())};
        }
        ++account->waiting;
        ask(limits, account, account->waiting);
        if (account->is_asked) {
            auto timer =
                std::make_shared<net::steady_timer>(limits->options.executor, deadline);
            account->waiters.push_back(timer);
            co_await timer->async_wait(use_tuple);
        }
        --account->waiting;
        account = limits->find(name);
    }
    co_return limit_decision{};
}

} // namespace papayabridge

#include "fleet_limiter_state.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
// How long a request waits for those of other accounts while another one to the same home
// is not answered yet. Short compared with the latency of a statement.
constexpr milliseconds batch_time{3};
// A home that has not answered for this long is asked over a new connection: the old one
// may resend with long pauses.
constexpr milliseconds reconnect_after{450};
// Time between two such connections, each of which may log a line.
constexpr milliseconds reconnect_pause{2000};
// A link that was not used for this long is closed; its keepalive costs bytes.
constexpr milliseconds link_idle_time{30'000};

using shared_state = std::shared_ptr<fleet_limiter::state>;

void record_grant(limited_account& account, const token_grant& grant, boot_time sent_at,
                  boot_time now)
{
    bool is_from_home = grant.granted > 0 || grant.retry_after.count() > 0;
    if (is_from_home) {
        account.tokens.record_answer(grant, token_life(account.limit), sent_at, now);
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
    } else if (now - *home.silent_since > reconnect_after &&
               now - home.link_made_at > reconnect_pause)
    {
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
        auto request =
            account->tokens.request(account->name, std::max(1U, account->waiting), now);
        request.wanted = std::max(1U, request.wanted);
        sent.requests.push_back(std::move(request));
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
                                                steady_clock::now() + answer_time);
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
    auto request = account->tokens.request(account->name, waiting, now);
    if (account->is_asked || request.wanted == 0) {
        return;
    }
    if (account->home == limits->options.self) {
        auto grant = limits->grant(0, {request}).front();
        account->tokens.record_reported(request.overspent);
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

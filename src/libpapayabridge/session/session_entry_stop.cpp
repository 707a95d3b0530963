// How an entry reloads its settings and stops.

#include "session_entry.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// The load balancer polls readiness once per second and removes an entry after two
// failures.
constexpr std::chrono::milliseconds balancer_delay{2300};
constexpr std::chrono::milliseconds drain_poll{20};
// Part of the stop grace that is reserved for the exit of the process.
constexpr std::chrono::milliseconds exit_margin{700};
// A proposal that no keeper answers is given up after this time.
constexpr std::chrono::milliseconds propose_timeout{2000};

} // namespace

void session_entry::reload(const session_settings& settings)
{
    settings_.seeds = settings.seeds;
    update_keeper_endpoints();
    log_line(log_event::settings_reloaded,
             {{"seeds", log_number(settings.seeds.size())}});
}

void session_entry::stop()
{
    if (!stopping_) {
        stopping_ = true;
        log_line(log_event::process_stopping,
                 {{"sessions", log_number(sessions_.size())}});
        net::co_spawn(executor_, drain_and_stop(), net::detached);
    }
}

void session_entry::close_sessions(bool include_transactions, bool include_running)
{
    for (const auto& session : sessions_.open_sessions()) {
        bool is_closable =
            session->is_idle() || (include_transactions && !session->is_running());
        if (is_closable || include_running) {
            session->close();
        }
    }
}

// Whether statements or transactions of other entries are in progress here.
bool session_entry::serves_peers() const
{
    return gate_server_ &&
           (gate_server_->statements() > 0 || gate_server_->transactions() > 0);
}

// Makes the other entries choose other gates. Until they know, new statements are refused
// as not run.
net::awaitable<void> session_entry::announce_stop()
{
    command change = set_entry_condition{.entry = settings_.id,
                                         .incarnation = incarnation_,
                                         .condition = entry_condition::draining};
    auto outcome = co_await keepers_.propose(std::move(change),
                                             steady_clock::now() + propose_timeout);
    if (!outcome) {
        log_line(log_event::registration_failed, {{"detail", outcome.error().str()}});
    }
}

// New sessions are accepted until the load balancer has seen that this entry is not
// ready. Then idle sessions are closed, and after half of the grace also those with
// open transactions. Running statements are still answered.
net::awaitable<void> session_entry::drain_and_stop()
{
    auto began = steady_clock::now();
    auto transactions_until = began + settings_.stop_grace / 2;
    auto end = began + settings_.stop_grace - exit_margin;
    if (gate_server_) {
        gate_server_->stop_accepting_statements();
    }
    net::co_spawn(executor_, announce_stop(), net::detached);
    co_await sleep_for(std::min(balancer_delay, settings_.stop_grace / 2));
    sessions_.close_when_idle = true;
    while ((sessions_.size() > 0 || serves_peers()) && steady_clock::now() < end) {
        bool include_transactions = steady_clock::now() >= transactions_until;
        close_sessions(include_transactions, false);
        if (include_transactions && gate_server_) {
            gate_server_->end_transactions();
        }
        co_await sleep_for(drain_poll);
    }
    log_line(log_event::process_stopped, {{"sessions", log_number(sessions_.size())}});
    runtime_.stop();
}

} // namespace papayabridge

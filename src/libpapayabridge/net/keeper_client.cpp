#include <papayabridge/keeper_client.hpp>

#include "core/control/update_batch.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/json.hpp>
#include <random>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds propose_attempt{1500};
constexpr std::chrono::milliseconds propose_pause{30};
constexpr std::chrono::milliseconds watch_grace{700};
constexpr std::chrono::milliseconds snapshot_grace{1200};
constexpr std::chrono::milliseconds status_timeout{1000};
constexpr std::chrono::milliseconds tell_timeout{300};
// Keepers that are told of a problem. Of five or more, two may be lost at once.
constexpr std::size_t told_keepers = 3;

// Errors that another keeper, or a later attempt, may not give.
bool is_worth_resending(error_kind kind)
{
    switch (kind) {
    case error_kind::unreachable:
    case error_kind::not_leader:
    case error_kind::no_quorum:
    case error_kind::storage_failed:
    case error_kind::outcome_unknown:
        return true;
    default:
        return false;
    }
}

double random_fraction()
{
    static std::minstd_rand random(std::random_device{}());
    return std::uniform_real_distribution<double>(0, 1)(random);
}

net::awaitable<void> pause(net::any_io_executor executor, time_point until)
{
    net::steady_timer timer(executor);
    timer.expires_at(until);
    co_await timer.async_wait(net::use_awaitable);
}

// Repeated by the caller while it holds, so that a lost call does no harm.
net::awaitable<void> call_once(rpc_client* keeper, const char* method,
                               rpc_message message, time_point deadline)
{
    static_cast<void>(co_await keeper->call(method, std::move(message), deadline));
}

} // namespace

keeper_client::keeper_client(net::any_io_executor executor,
                             std::shared_ptr<rpc_clients> clients,
                             std::vector<tcp::endpoint> keepers,
                             std::chrono::milliseconds nearest_rest)
    : executor_(std::move(executor)), clients_(std::move(clients)),
      keepers_(std::move(keepers)), nearest_probe_interval_(nearest_rest)
{
}

// A probe or set_keepers() may have chosen another keeper while the one asked was being
// called.
void keeper_client::advance_from(const tcp::endpoint& asked)
{
    if (keepers_[selection_->current] != asked) {
        return;
    }
    selection_->current = (selection_->current + 1) % keepers_.size();
    selection_->next_probe_at = steady_clock::now() + nearest_probe_interval_;
}

// Beside the calls to the present keeper: the nearest may be gone for good, and news must
// not wait for its silence.
net::awaitable<void>
keeper_client::probe_nearest(std::shared_ptr<rpc_clients> clients, tcp::endpoint nearest,
                             std::shared_ptr<keeper_selection> preferred,
                             std::chrono::milliseconds rest)
{
    rpc_message request;
    auto deadline = steady_clock::now() + status_timeout;
    auto answer = co_await clients->client_to(nearest).call("keeper.status",
                                                            std::move(request), deadline);
    preferred->is_probing = false;
    preferred->next_probe_at = steady_clock::now() + rest;
    auto status = answer ? keeper_status_from(answer.value().body) : answer.error();
    if (status && status.value().is_current) {
        preferred->current = 0;
    }
}

const tcp::endpoint& keeper_client::select_keeper()
{
    auto& known = *selection_;
    bool is_due = known.current != 0 && steady_clock::now() >= known.next_probe_at;
    if (is_due && !known.is_probing) {
        known.is_probing = true;
        net::co_spawn(executor_,
                      probe_nearest(clients_, keepers_.front(), selection_,
                                    nearest_probe_interval_),
                      net::detached);
    }
    return keepers_[known.current];
}

std::optional<tcp::endpoint> keeper_client::current_keeper() const
{
    if (keepers_.empty()) {
        return std::nullopt;
    }
    return keepers_[selection_->current];
}

void keeper_client::set_keepers(std::vector<tcp::endpoint> keepers)
{
    if (keepers == keepers_) {
        return;
    }
    auto used = current_keeper();
    keepers_ = std::move(keepers);
    selection_ = std::make_shared<keeper_selection>();
    auto found =
        used ? std::find(keepers_.begin(), keepers_.end(), *used) : keepers_.end();
    if (found != keepers_.end()) {
        // Nearer ones may be lost; the nearest is probed at the next watch.
        selection_->current = static_cast<std::size_t>(found - keepers_.begin());
    }
}

// To several keepers: the one that is asked otherwise may be in trouble, too, and only
// the one that leads acts on it. In a small group it is among them; in a larger one they
// pass the message on to it.
void keeper_client::report_primaries(const primary_report& report)
{
    rpc_message request;
    request.body = to_value(report);
    request.body["forwarded"] = keepers_.size() <= told_keepers;
    auto deadline = steady_clock::now() + tell_timeout;
    auto count = std::min(keepers_.size(), told_keepers);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& place = keepers_[(selection_->current + i) % keepers_.size()];
        net::co_spawn(
            executor_,
            call_once(&clients_->client_to(place), "keeper.trouble", request, deadline),
            net::detached);
    }
}

net::awaitable<result<command_outcome>> keeper_client::propose(command change,
                                                               time_point deadline)
{
    rpc_message request;
    request.body["command"] = to_value(change);
    auto failure = fail(error_kind::unreachable, "no keeper is known");
    bool may_be_accepted = false;
    std::size_t next = selection_->current;
    while (!keepers_.empty()) {
        auto& client = clients_->client_to(keepers_[next % keepers_.size()]);
        auto until = std::min(deadline, steady_clock::now() + propose_attempt);
        auto answer = co_await client.call("keeper.propose", request, until);
        if (answer) {
            auto outcome = outcome_from(answer.value().body["outcome"]);
            co_return outcome;
        }
        failure = answer.error();
        may_be_accepted = may_be_accepted || failure.kind == error_kind::outcome_unknown;
        auto again_at = steady_clock::now() + propose_pause;
        if (!is_worth_resending(failure.kind) || again_at >= deadline) {
            break;
        }
        ++next;
        co_await pause(executor_, again_at);
    }
    if (may_be_accepted) {
        failure.kind = error_kind::outcome_unknown;
    }
    co_return failure;
}

net::awaitable<result<watch_update>> keeper_client::watch(control_index from,
                                                          std::chrono::milliseconds wait,
                                                          entry_identity entry,
                                                          watch_options options)
{
    if (keepers_.empty()) {
        co_return fail(error_kind::unreachable, "no keeper is known");
    }
    rpc_message request;
    request.body["from"] = Json::UInt64(from.value());
    request.body["wait_ms"] = Json::UInt64(wait.count());
    request.body["entry"] = entry.id.str();
    request.body["incarnation"] = Json::UInt64(entry.incarnation);
    request.body["confirm"] = options.confirm;
    request.body["packed"] = true;
    if (options.only_confirmed) {
        request.body["only_confirmed"] = true;
    }
    if (options.wants_confirmed_age) {
        request.body["dated"] = true;
    }
    auto asked = select_keeper();
    auto& client = clients_->client_to(asked);
    // The first answer holds the whole state, which takes a while on a narrow link.
    auto grace = from == control_index() ? snapshot_grace : watch_grace;
    auto deadline = steady_clock::now() + wait + grace;
    auto answer = co_await client.call("keeper.watch", std::move(request), deadline);
    if (!answer) {
        advance_from(asked);
        auto wait_time = watch_pause(failed_watches_++, random_fraction());
        co_await pause(executor_, steady_clock::now() + wait_time);
        co_return answer.error();
    }
    failed_watches_ = 0;
    auto update = watch_update_from(answer.value().body);
    if (update && update.value().applied < from) {
        // What was in force must not be replaced by what was before it.
        advance_from(asked);
        co_return fail(error_kind::behind, "the keeper holds less than this watcher");
    }
    if (!update || !update.value().is_current) {
        advance_from(asked);
    }
    co_return update;
}

net::awaitable<result<keeper_status>> keeper_client::status(tcp::endpoint keeper)
{
    auto& client = clients_->client_to(keeper);
    rpc_message request;
    auto deadline = steady_clock::now() + status_timeout;
    auto answer = co_await client.call("keeper.status", std::move(request), deadline);
    if (!answer) {
        co_return answer.error();
    }
    auto status = keeper_status_from(answer.value().body);
    co_return status;
}

} // namespace papayabridge

#include "keeper_service.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds propose_timeout{1400};
constexpr std::chrono::milliseconds confirm_timeout{700};
// How often the state is confirmed while watchers need to know its age, and for how long
// after the last of them.
constexpr std::chrono::milliseconds confirm_interval{500};
constexpr std::chrono::seconds confirm_demand{5};
// Encoded changes that are kept for further watchers.
constexpr std::size_t max_shared_changes = 16;
constexpr std::uint64_t max_wait_ms = 30'000;
constexpr std::chrono::milliseconds leaderless_wait{50};
constexpr int watches_per_timeout = 3;

struct named_cut
{
    std::string_view name;
    link_cut cut;
};

constexpr std::array<named_cut, 4> named_cuts{{
    {"none", link_cut::none},
    {"send", link_cut::send},
    {"receive", link_cut::receive},
    {"both", link_cut::both},
}};

} // namespace

keeper_service::keeper_service(const keeper_settings& settings, replicator& replicated,
                               event_log& events)
    : settings_(settings), replicated_(replicated), events_(events)
{
}

void keeper_service::register_methods(rpc_server& server)
{
    using method_pointer =
        net::awaitable<result<rpc_message>> (keeper_service::*)(rpc_message);
    struct named_method
    {
        const char* name;
        method_pointer handler;
    };
    static constexpr std::array<named_method, 8> methods{{
        {"keeper.propose", &keeper_service::propose},
        {"keeper.watch", &keeper_service::watch},
        {"keeper.status", &keeper_service::status},
        {"consensus.message", &keeper_service::receive_message},
        {"consensus.genesis", &keeper_service::genesis},
        {"process.events", &keeper_service::list_events},
        {"process.fault", &keeper_service::cut_links},
        {"keeper.trouble", &keeper_service::report_trouble},
    }};
    for (const auto& method : methods) {
        server.add_method(method.name,
                          [this, handler = method.handler](rpc_message request) {
                              return (this->*handler)(std::move(request));
                          });
    }
}

net::awaitable<result<rpc_message>> keeper_service::propose(rpc_message request)
{
    auto change = command_from(request.body["command"]);
    if (!change) {
        co_return change.error();
    }
    auto deadline = steady_clock::now() + propose_timeout;
    bool forwarded = flag_of(request.body, "forwarded");
    auto accepted =
        co_await replicated_.propose(std::move(change.value()), deadline, forwarded);
    if (!accepted) {
        co_return accepted.error();
    }
    rpc_message answer;
    answer.body["index"] = Json::UInt64(accepted.value().index.value());
    answer.body["outcome"] = to_value(accepted.value().outcome);
    co_return answer;
}

net::awaitable<result<rpc_message>> keeper_service::watch(rpc_message request)
{
    auto from = control_index(number_of(request.body, "from"));
    auto wait_ms = std::min(number_of(request.body, "wait_ms"), max_wait_ms);
    entry_run entry{.id = entry_id(text_of(request.body, "entry")),
                    .incarnation = number_of(request.body, "incarnation")};
    auto wait = std::chrono::milliseconds(wait_ms);
    if (!entry.id.empty()) {
        replicated_.duties().record_contact(entry, steady_clock::now());
        // Each watch is a heartbeat of the entry, so it has to end well before the
        // timeout.
        wait = std::min(wait, settings_.entry_timeout / watches_per_timeout);
    }
    bool wants_age = flag_of(request.body, "dated");
    bool is_up_to_date = false;
    if (flag_of(request.body, "confirm") || (wants_age && !is_recently_confirmed())) {
        is_up_to_date = co_await confirm_state();
    }
    if (wants_age) {
        confirm_until_ = boottime_now() + confirm_demand;
        if (!is_confirming_) {
            is_confirming_ = true;
            auto executor = co_await net::this_coro::executor;
            net::co_spawn(executor, keep_confirmed(), net::detached);
        }
    }
    if (flag_of(request.body, "only_confirmed") && !is_up_to_date) {
        // So that a keeper that cannot write is not asked in a busy loop.
        net::steady_timer timer(co_await net::this_coro::executor, leaderless_wait);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        watch_update unconfirmed{.applied = from, .is_current = replicated_.is_current()};
        rpc_message answer;
        answer.body = to_value(unconfirmed);
        co_return answer;
    }
    auto& applied = replicated_.applied();
    auto deadline = steady_clock::now() + wait;
    if (!replicated_.is_current()) {
        // Short, so that the watcher soon tries another keeper; not zero, so that it does
        // not ask in a busy loop.
        deadline = std::min(deadline, steady_clock::now() + leaderless_wait);
    }
    co_await applied.wait_for_command_after(from, deadline);
    auto update = applied.update_after(from);
    update.is_current = replicated_.is_current();
    update.state_age = replicated_.state_age().value_or(std::chrono::milliseconds(0));
    update.is_up_to_date = is_up_to_date;
    if (wants_age) {
        update.confirmed_age = confirmed_age();
    }
    rpc_message answer;
    answer.body = flag_of(request.body, "packed")
                      ? to_value(update, shared_changes(from, update))
                      : to_value(update);
    co_return answer;
}

// Most watchers hold the same state and so get the same changes.
const Json::Value& keeper_service::shared_changes(control_index from,
                                                  const watch_update& update)
{
    auto key = std::make_pair(update.snapshot ? control_index() : from, update.applied);
    auto found = shared_changes_.find(key);
    if (found == shared_changes_.end()) {
        if (shared_changes_.size() >= max_shared_changes) {
            shared_changes_.clear();
        }
        found = shared_changes_.emplace(key, pack_changes(changes_of(update))).first;
    }
    return found->second;
}

net::awaitable<bool> keeper_service::confirm_state()
{
    auto asked = boottime_now();
    auto confirmed =
        co_await replicated_.wait_for_read_barrier(steady_clock::now() + confirm_timeout);
    if (confirmed) {
        confirmed_at_ = std::max(confirmed_at_.value_or(asked), asked);
    }
    co_return bool(confirmed);
}

bool keeper_service::is_recently_confirmed() const
{
    auto age = confirmed_age();
    return age && *age < 2 * confirm_interval;
}

net::awaitable<void> keeper_service::keep_confirmed()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    while (boottime_now() < confirm_until_) {
        static_cast<void>(co_await confirm_state());
        timer.expires_after(confirm_interval);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    }
    is_confirming_ = false;
}

std::optional<std::chrono::milliseconds> keeper_service::confirmed_age() const
{
    if (!confirmed_at_) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(boottime_now() - *confirmed_at_);
}

net::awaitable<result<rpc_message>> keeper_service::status(rpc_message)
{
    rpc_message answer;
    answer.body = to_value(replicated_.status());
    co_return answer;
}

net::awaitable<result<rpc_message>> keeper_service::receive_message(rpc_message request)
{
    replicated_.receive(request);
    rpc_message answer;
    co_return answer;
}

net::awaitable<result<rpc_message>> keeper_service::genesis(rpc_message)
{
    auto report = replicated_.genesis();
    if (!report) {
        co_return report.error();
    }
    rpc_message answer;
    answer.body = to_value(report.value());
    co_return answer;
}

net::awaitable<result<rpc_message>> keeper_service::list_events(rpc_message request)
{
    rpc_message answer;
    auto request_filter = request_id(text_of(request.body, "request"));
    answer.body["events"] =
        events_.list(number_of(request.body, "after"), request_filter);
    co_return answer;
}

net::awaitable<result<rpc_message>> keeper_service::report_trouble(rpc_message request)
{
    if (promotion_controller_ != nullptr) {
        auto report = primary_report_from(request.body);
        for (const auto& failure : report.failures) {
            promotion_controller_->record_trouble(failure);
        }
        for (const auto& commits : report.commits) {
            promotion_controller_->record_commits(commits);
        }
    }
    if (!flag_of(request.body, "forwarded")) {
        co_await replicated_.notify_leader("keeper.trouble", std::move(request));
    }
    rpc_message answer;
    co_return answer;
}

net::awaitable<result<rpc_message>> keeper_service::cut_links(rpc_message request)
{
    if (!settings_.test_faults) {
        co_return fail(error_kind::bad_request, "\"test_faults\" is not set");
    }
    auto name = text_of(request.body, "cut");
    const auto* found =
        std::find_if(named_cuts.begin(), named_cuts.end(),
                     [&name](const auto& cut) { return cut.name == name; });
    if (found == named_cuts.end()) {
        co_return fail(error_kind::bad_request, "unknown link cut \"" + name + "\"");
    }
    auto domain = domain_name(text_of(request.body, "domain"));
    settings_.links->set_cut(domain, found->cut);
    events_.record({.kind = event_kind::fault_injected,
                    .detail = "links to " + domain.str() + ": " + name});
    rpc_message answer;
    co_return answer;
}

} // namespace papayabridge

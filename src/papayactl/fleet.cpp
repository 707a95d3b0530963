#include "fleet.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// An entry whose address cannot be read is listed as unreachable at this address.
const tcp::endpoint no_address;

process_target target_of(const entry_record& entry)
{
    return {.name = "entry " + entry.id.str(),
            .rpc = parse_endpoint(entry.rpc).value_or(no_address)};
}

// Replaces or continues the state as the keeper's answer says.
void follow(control_state& state, const watch_update& update)
{
    if (update.snapshot) {
        state = *update.snapshot;
    }
    for (const auto& one : update.commands) {
        state.apply(one.index, one.change);
    }
}

const keeper_view* furthest(const std::vector<keeper_view>& keepers)
{
    const keeper_view* best = nullptr;
    for (const auto& keeper : keepers) {
        bool answers = keeper.status.has_value();
        if (answers &&
            (best == nullptr || best->status->applied < keeper.status->applied)) {
            best = &keeper;
        }
    }
    return best;
}

} // namespace

fleet::fleet(net::any_io_executor executor, const operator_settings& settings,
             std::chrono::milliseconds timeout)
    : executor_(executor), keepers_(settings.keepers),
      clients_(std::make_shared<rpc_clients>(std::move(executor), settings.links,
                                             token_codec(settings.fleet_key))),
      timeout_(timeout)
{
}

net::awaitable<void> fleet::pause(std::chrono::milliseconds time)
{
    net::steady_timer timer(executor_);
    timer.expires_after(time);
    co_await timer.async_wait(net::use_awaitable);
}

net::awaitable<void> fleet::ask(process_answer& slot, std::string method,
                                Json::Value body)
{
    rpc_message request;
    request.body = std::move(body);
    auto deadline = steady_clock::now() + timeout_;
    auto& client = clients_->client_to(slot.process.rpc);
    slot.answer = co_await client.call(std::move(method), std::move(request), deadline);
}

net::awaitable<std::vector<process_answer>>
fleet::ask_all(const std::vector<process_target>& targets, std::string method,
               Json::Value body)
{
    std::vector<process_answer> answers;
    answers.reserve(targets.size());
    for (const auto& target : targets) {
        answers.push_back({.process = target});
    }
    net::steady_timer all_done(executor_, time_point::max());
    auto open = answers.size();
    auto on_done = [&](const std::exception_ptr&) {
        if (--open == 0) {
            all_done.cancel();
        }
    };
    for (auto& slot : answers) {
        net::co_spawn(executor_, ask(slot, method, body), on_done);
    }
    if (open != 0) {
        co_await all_done.async_wait(net::as_tuple(net::use_awaitable));
    }
    co_return answers;
}

std::vector<process_target> fleet::keeper_targets() const
{
    std::vector<process_target> targets;
    targets.reserve(keepers_.size());
    for (const auto& keeper : keepers_) {
        targets.push_back({.name = "keeper " + to_string(keeper), .rpc = keeper});
    }
    return targets;
}

net::awaitable<std::vector<keeper_view>> fleet::keeper_views()
{
    auto targets = keeper_targets();
    auto answers = co_await ask_all(targets, "keeper.status", Json::objectValue);
    std::vector<keeper_view> views;
    for (const auto& [process, answer] : answers) {
        keeper_view view;
        view.rpc = to_string(process.rpc);
        auto status = answer ? keeper_status_from(answer.value().body)
                             : result<keeper_status>(answer.error());
        if (status) {
            view.status = std::move(status.value());
        } else {
            view.problem = status.error().str();
        }
        views.push_back(std::move(view));
    }
    co_return views;
}

net::awaitable<result<control_state>> fleet::state_of(tcp::endpoint keeper)
{
    keeper_client client(executor_, clients_, {keeper});
    entry_identity nobody;
    control_state state;
    control_index held;
    bool complete = false;
    while (!complete) {
        auto update = co_await client.watch(held, std::chrono::milliseconds(0), nobody);
        if (!update) {
            co_return update.error();
        }
        follow(state, update.value());
        complete = update.value().applied == held || update.value().snapshot;
        held = update.value().applied;
    }
    co_return state;
}

net::awaitable<operator_view> fleet::keepers_and_state()
{
    operator_view seen;
    seen.keepers = co_await keeper_views();
    const auto* best = furthest(seen.keepers);
    if (best == nullptr) {
        co_return seen;
    }
    auto address = parse_endpoint(best->rpc).value_or(no_address);
    auto state = co_await state_of(address);
    if (state) {
        seen.state = std::move(state.value());
    }
    co_return seen;
}

net::awaitable<std::vector<entry_view>> fleet::entries(const control_state& state)
{
    std::vector<process_target> targets;
    std::vector<entry_view> views;
    for (const auto& [id, record] : state.entries()) {
        targets.push_back(target_of(record));
        views.push_back({.record = record});
    }
    auto answers = co_await ask_all(targets, "entry.status", Json::objectValue);
    for (std::size_t i = 0; i < views.size(); ++i) {
        const auto& answer = answers[i].answer;
        auto status = answer ? entry_status_from(answer.value().body)
                             : result<entry_status>(answer.error());
        if (status) {
            views[i].status = std::move(status.value());
        } else {
            views[i].problem = status.error().str();
        }
    }
    co_return views;
}

net::awaitable<operator_view> fleet::view()
{
    auto seen = co_await keepers_and_state();
    if (seen.state) {
        seen.entries = co_await entries(*seen.state);
    }
    co_return seen;
}

net::awaitable<result<command_outcome>> fleet::propose(command change)
{
    keeper_client client(executor_, clients_, keepers_);
    auto deadline = steady_clock::now() + timeout_;
    auto outcome = co_await client.propose(std::move(change), deadline);
    co_return outcome;
}

net::awaitable<result<void>> fleet::drain(const entry_record& entry)
{
    process_answer slot;
    slot.process = target_of(entry);
    co_await ask(slot, "entry.drain", Json::objectValue);
    if (!slot.answer) {
        co_return slot.answer.error();
    }
    co_return success();
}

net::awaitable<gathered_events> fleet::events(std::uint64_t after, std::string request)
{
    auto seen = co_await keepers_and_state();
    auto targets = keeper_targets();
    gathered_events gathered;
    if (seen.state) {
        for (const auto& [id, record] : seen.state->entries()) {
            targets.push_back(target_of(record));
        }
    } else {
        gathered.unreachable.emplace_back(
            "entries: not known, as no keeper gave the control state");
    }
    Json::Value body;
    body["after"] = Json::UInt64(after);
    body["request"] = request;
    auto answers = co_await ask_all(targets, "process.events", body);
    std::vector<Json::Value> lists;
    for (const auto& [process, answer] : answers) {
        if (answer) {
            lists.push_back(answer.value().body["events"]);
        } else {
            gathered.unreachable.push_back(process.name + ": " + answer.error().str());
        }
    }
    gathered.events = merge_events(lists);
    co_return gathered;
}

} // namespace papayabridge

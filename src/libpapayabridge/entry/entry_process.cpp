#include "entry_process.hpp"

#include "run_on.hpp"
#include "store/view_file.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds watch_poll_wait{400};
constexpr std::chrono::milliseconds watch_retry_delay{100};
constexpr std::chrono::milliseconds propose_timeout{2000};
constexpr std::chrono::milliseconds sample_interval{50};
constexpr std::chrono::milliseconds call_timeout{500};
constexpr std::chrono::milliseconds drain_poll_interval{20};
// A draining entry that cannot reach the keepers for this long stops without moving its
// gates.
constexpr std::chrono::milliseconds keepers_timeout{5000};
// Time for the load balancer to notice that the entry is no longer ready.
constexpr std::chrono::milliseconds balancer_notice_delay{200};

std::uint64_t new_incarnation()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    auto since_epoch = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    return static_cast<std::uint64_t>(since_epoch);
}

bool matches_record(const member_record& known, const member_record& announced)
{
    return known.endpoint == announced.endpoint && known.domain == announced.domain &&
           known.region == announced.region && known.slots == announced.slots &&
           known.connections == announced.connections &&
           known.condition == announced.condition &&
           (known.admitted || !announced.admitted);
}

} // namespace

entry_process::entry_process(daemon_runtime& runtime, entry_settings settings)
    : runtime_(runtime), settings_(std::move(settings)), incarnation_(new_incarnation()),
      events_(settings_.id.str()),
      clients_(runtime.control_context().get_executor(), settings_.links,
               token_codec(settings_.fleet_key)),
      keepers_(runtime.control_context().get_executor(),
               std::shared_ptr<rpc_clients>(&clients_, [](rpc_clients*) {}),
               settings_.keepers)
{
}

entry_process::~entry_process() = default;

result<void> entry_process::start()
{
    auto control = runtime_.control_context().get_executor();
    shard_hooks hooks;
    hooks.suspect_primary = [this, control](const database_key& database, term at) {
        net::co_spawn(control, propose_transition(database, at), net::detached);
    };
    shards_ = std::make_unique<shard_host>(runtime_.traffic_contexts(), settings_,
                                           events_, std::move(hooks));
    transition_driver_options driver;
    driver.self = settings_.id;
    driver.links = settings_.links;
    driver.view = &view_;
    driver.shards = shards_.get();
    driver.clients = &clients_;
    driver.keepers = &keepers_;
    driver.events = &events_;
    driver_ = std::make_unique<transition_driver>(control, driver);

    caller_service_options service;
    service.settings = &settings_;
    service.view = &view_;
    service.shards = shards_.get();
    service.events = &events_;
    service.traffic = runtime_.traffic_contexts();
    service.control.is_ready = [this] { return ready_.load(); };
    service.control.announce = [this, control](announce_member change) {
        return run_on(control, handle_announcement(std::move(change)));
    };
    service_ = std::make_unique<caller_service>(std::move(service));

    http_server_options http;
    http.listen = settings_.http;
    http.max_connections = settings_.max_connections;
    http_ = std::make_unique<http_server>(
        runtime_.control_context(), runtime_.traffic_contexts(), http,
        [this](http_exchange& exchange) { return service_->handle(exchange); });
    rpc_ = std::make_unique<rpc_server>(control, settings_.rpc,
                                        token_codec(settings_.fleet_key));
    register_methods();
    if (!settings_.data_folder.empty()) {
        event_file_ = std::make_unique<line_file>(
            files_, line_file_options{.path = settings_.data_folder + "/events.jsonl"});
        events_.set_sink([this](std::string_view line) { event_file_->append(line); });
        auto stored = load_view(settings_.data_folder);
        view_writer_ = std::make_unique<view_writer>(view_writer_options{
            .store = std::bind_front(store_view, settings_.data_folder)});
        if (stored) {
            state_ = std::move(stored.value());
            publish();
        }
    }
    auto opened = rpc_->start();
    if (opened) {
        opened = http_->start();
    }
    if (!opened) {
        return opened;
    }
    events_.record({.kind = event_kind::process_started, .detail = "entry started"});
    net::co_spawn(control, register_self(), net::detached);
    net::co_spawn(control, follow_keepers(), net::detached);
    net::co_spawn(control, collect_samples(), net::detached);
    return success();
}

// --- Following the keepers ---

net::awaitable<void> entry_process::register_self()
{
    register_entry change;
    change.entry.id = settings_.id;
    change.entry.incarnation = incarnation_;
    change.entry.http = to_string(settings_.http);
    change.entry.rpc = to_string(settings_.rpc);
    change.entry.domain = settings_.domain;
    change.entry.region = settings_.region;
    while (true) {
        command proposed = change;
        auto outcome =
            co_await keepers_.propose(proposed, steady_clock::now() + propose_timeout);
        if (outcome && outcome.value().accepted) {
            co_return;
        }
        co_await pause_for(watch_retry_delay);
    }
}

net::awaitable<void> entry_process::follow_keepers()
{
    entry_identity self{settings_.id, incarnation_};
    while (true) {
        auto update =
            co_await keepers_.watch(state_.applied_index(), watch_poll_wait, self);
        if (!update) {
            co_await pause_for(watch_retry_delay);
            continue;
        }
        if (update.value().is_current) {
            view_.record_keeper_contact(steady_clock::now());
        }
        apply_update(std::move(update.value()));
    }
}

void entry_process::apply_update(watch_update update)
{
    // A keeper that is behind may send an older snapshot; the state must not go back.
    bool newer =
        update.snapshot && update.snapshot->applied_index() > state_.applied_index();
    bool changed = newer || !update.commands.empty();
    if (newer) {
        state_ = std::move(*update.snapshot);
    }
    for (const auto& [index, change] : update.commands) {
        if (index > state_.applied_index()) {
            state_.apply(index, change);
        }
    }
    if (changed) {
        publish();
    }
}

void entry_process::publish()
{
    auto before = view_.current();
    auto view = std::make_shared<fleet_view>();
    view->state = state_;
    auto settings = configuration_from(state_.configuration().content);
    if (settings) {
        view->settings = std::move(settings.value());
    } else {
        // Another version of the program wrote it; the previous settings stay in force.
        view->settings = before->settings;
        events_.record({.kind = event_kind::configuration_refused,
                        .detail = "this version cannot read the configuration: " +
                                  settings.error().detail});
    }
    if (before->state.configuration().version != state_.configuration().version) {
        auto version = std::to_string(state_.configuration().version.value());
        events_.record({.kind = event_kind::configuration_in_force,
                        .detail = "configuration version " + version});
    }
    view_.publish(view);
    shards_->apply(view);
    driver_->start_transitions();
    if (view_writer_) {
        view_writer_->set_newest(state_);
    }
    const auto* self = state_.entry(settings_.id);
    bool registered = self != nullptr && self->incarnation == incarnation_;
    if (!draining_) {
        ready_ = registered || !settings_.data_folder.empty();
    }
}

// --- Members ---

net::awaitable<result<void>> entry_process::handle_announcement(announce_member change)
{
    const auto* database = state_.database(change.database);
    if (database != nullptr) {
        auto known = database->members.find(change.member.id);
        if (known != database->members.end() &&
            matches_record(known->second, change.member)) {
            co_return success();
        }
    }
    if (change.member.condition == member_condition::leaving) {
        net::co_spawn(runtime_.control_context(), notify_gate(change), net::detached);
    }
    command proposed = change;
    auto outcome =
        co_await keepers_.propose(proposed, steady_clock::now() + propose_timeout);
    if (!outcome) {
        co_return outcome.error();
    }
    co_return success();
}

// The keepers may be unreachable, so the gate is notified directly.
net::awaitable<void> entry_process::notify_gate(announce_member change)
{
    const auto* database = state_.database(change.database);
    if (database == nullptr || database->members.count(change.member.id) == 0) {
        co_return;
    }
    auto gate = database->members.at(change.member.id).gate;
    if (gate == settings_.id) {
        shards_->set_leaving(change.database, change.member.id);
        co_return;
    }
    const auto* entry = state_.entry(gate);
    auto remote = entry == nullptr ? std::nullopt : parse_endpoint(entry->rpc);
    if (!remote) {
        co_return;
    }
    rpc_message message;
    message.body["database"] = change.database.str();
    message.body["member"] = change.member.id.str();
    static_cast<void>(co_await clients_.client_to(*remote).call(
        "gate.leaving", std::move(message), steady_clock::now() + call_timeout));
}

net::awaitable<void> entry_process::propose_transition(database_key database, term at)
{
    begin_transition change;
    change.database = database;
    change.base = at;
    change.reason = transition_reason::primary_lost;
    command proposed = change;
    static_cast<void>(
        co_await keepers_.propose(proposed, steady_clock::now() + propose_timeout));
}

// --- Samples of primaries' positions, for reads with an accepted age ---

net::awaitable<void> entry_process::collect_samples()
{
    while (true) {
        auto databases = co_await shards_->databases_needing_samples();
        for (const auto& database : databases) {
            net::co_spawn(runtime_.control_context(), fetch_sample(database),
                          net::detached);
        }
        co_await pause_for(sample_interval);
    }
}

net::awaitable<void> entry_process::fetch_sample(database_key database)
{
    const auto* record = state_.database(database);
    if (record == nullptr) {
        co_return;
    }
    auto gate = record->primary_gate();
    auto asked_at = steady_clock::now();
    if (gate == settings_.id) {
        auto own = co_await shards_->sample_primary(database);
        if (own) {
            shards_->add_sample(database, asked_at, *own);
        }
        co_return;
    }
    const auto* entry = state_.entry(gate);
    auto remote = entry == nullptr ? std::nullopt : parse_endpoint(entry->rpc);
    if (!remote) {
        co_return;
    }
    rpc_message message;
    message.body["databases"].append(database.str());
    auto answer = co_await clients_.client_to(*remote).call(
        "gate.sample", std::move(message), asked_at + call_timeout,
        traffic_cause::position);
    if (!answer) {
        co_return;
    }
    for (const auto& item : answer.value().body["samples"]) {
        auto reached = parse_position(text_of(item, "position"));
        if (reached) {
            primary_sample sample{term(number_of(item, "term")), *reached};
            shards_->add_sample(database, asked_at, sample);
        }
    }
}

// --- RPC methods ---

void entry_process::register_methods()
{
    rpc_->add_method("gate.release", [this](rpc_message message) {
        return serve_release(std::move(message));
    });
    rpc_->add_method("gate.sample", [this](rpc_message message) {
        return serve_sample(std::move(message));
    });
    rpc_->add_method("entry.status", [this](rpc_message message) {
        return serve_status(std::move(message));
    });
    rpc_->add_method("gate.leaving",
                     [this](rpc_message message) -> net::awaitable<result<rpc_message>> {
                         auto key = parse_database_key(text_of(message.body, "database"));
                         if (key) {
                             shards_->set_leaving(
                                 *key, member_id(text_of(message.body, "member")));
                         }
                         co_return rpc_message{};
                     });
    rpc_->add_method("entry.drain",
                     [this](rpc_message) -> net::awaitable<result<rpc_message>> {
                         drain();
                         co_return rpc_message{};
                     });
    rpc_->add_method("process.events",
                     [this](rpc_message message) -> net::awaitable<result<rpc_message>> {
                         rpc_message answer;
                         answer.body["events"] =
                             events_.list(number_of(message.body, "after"),
                                          request_id(text_of(message.body, "request")));
                         co_return answer;
                     });
}

net::awaitable<result<rpc_message>> entry_process::serve_release(rpc_message message)
{
    auto key = parse_database_key(text_of(message.body, "database"));
    if (!key) {
        co_return fail(error_kind::bad_request,
                       "\"database\": accepted: SERVICE/DATABASE");
    }
    term to(number_of(message.body, "term"));
    bool force = flag_of(message.body, "force");
    // Bounds a forced wait, as the deadline of the requesting entry is not known here.
    auto deadline = steady_clock::now() + settings_.drain_timeout;
    bool released = co_await shards_->release(*key, to, force, deadline);
    rpc_message answer;
    answer.body["released"] = released;
    co_return answer;
}

net::awaitable<result<rpc_message>> entry_process::serve_sample(rpc_message message)
{
    rpc_message answer;
    answer.body["samples"] = Json::Value(Json::arrayValue);
    for (const auto& name : message.body["databases"]) {
        auto key = parse_database_key(name.isString() ? name.asString() : "");
        if (!key) {
            continue;
        }
        auto sample = co_await shards_->sample_primary(*key);
        if (sample) {
            Json::Value item;
            item["database"] = key->str();
            item["term"] = Json::UInt64(sample->term.value());
            item["position"] = sample->acknowledged.str();
            answer.body["samples"].append(item);
        }
    }
    co_return answer;
}

net::awaitable<result<rpc_message>> entry_process::serve_status(rpc_message)
{
    auto totals = co_await shards_->totals();
    rpc_message answer;
    auto& body = answer.body;
    body["id"] = settings_.id.str();
    body["version"] = Json::UInt64(state_.configuration().version.value());
    body["applied"] = Json::UInt64(state_.applied_index().value());
    body["gates"] = Json::UInt64(totals.databases);
    body["leases"] = Json::UInt64(totals.leases);
    body["in_progress"] = Json::UInt64(http_->in_progress());
    body["condition"] = draining_ ? "draining" : "up";
    body["view_age_ms"] =
        Json::Int64(view_.time_since_keeper_contact(steady_clock::now()).count());
    co_return answer;
}

// --- Graceful stop ---

void entry_process::drain()
{
    if (draining_) {
        return;
    }
    draining_ = true;
    ready_ = false;
    net::co_spawn(runtime_.control_context(), drain_and_stop(), net::detached);
}

net::awaitable<bool> entry_process::propose_condition(entry_condition condition)
{
    set_entry_condition change;
    change.entry = settings_.id;
    change.incarnation = incarnation_;
    change.condition = condition;
    command proposed = change;
    auto outcome =
        co_await keepers_.propose(proposed, steady_clock::now() + propose_timeout);
    co_return outcome&& outcome.value().accepted;
}

// Whether any gate or transition of this entry can still move. A gate moves to another
// entry of its failure domain, a primary to any entry where another member can be
// promoted. Gates that cannot move are no longer served once this entry ends.
bool entry_process::gates_can_move() const
{
    const auto& entries = state_.entries();
    auto other_up = [this, &entries](bool same_domain) {
        return std::any_of(entries.begin(), entries.end(), [&](const auto& item) {
            return item.first != settings_.id &&
                   item.second.condition == entry_condition::up &&
                   (!same_domain || item.second.domain == settings_.domain);
        });
    };
    bool other_in_domain = other_up(true);
    bool other_in_fleet = other_up(false);
    const auto& databases = state_.databases();
    return std::any_of(databases.begin(), databases.end(), [&](const auto& item) {
        const auto& record = item.second;
        bool drives = record.pending && record.pending->driver == settings_.id;
        bool leads = record.primary_gate() == settings_.id && record.members.size() > 1;
        bool holds_gate = std::any_of(
            record.members.begin(), record.members.end(),
            [this](const auto& member) { return member.second.gate == settings_.id; });
        return (other_in_fleet && (drives || leads)) || (other_in_domain && holds_gate);
    });
}

net::awaitable<void> entry_process::drain_and_stop()
{
    auto until = steady_clock::now() + settings_.drain_timeout;
    events_.record(
        {.kind = event_kind::entry_draining, .detail = "graceful stop started"});
    log_line(log_event::process_stopping);
    co_await pause_for(balancer_notice_delay);
    auto publish_until = std::min(until, steady_clock::now() + keepers_timeout);
    bool published = false;
    while (!published && steady_clock::now() < publish_until) {
        published = co_await propose_condition(entry_condition::draining);
        co_await pause_for(drain_poll_interval);
    }
    while (published && steady_clock::now() < until && gates_can_move()) {
        co_await pause_for(drain_poll_interval);
    }
    http_->stop_accepting();
    while (steady_clock::now() < until && http_->connections() > 0) {
        co_await pause_for(drain_poll_interval);
    }
    if (published) {
        static_cast<void>(co_await propose_condition(entry_condition::down));
    }
    events_.record(
        {.kind = event_kind::process_stopping, .detail = "graceful stop ended"});
    log_line(log_event::process_stopped);
    co_await shards_->close();
    rpc_->stop();
    runtime_.stop();
}

} // namespace papayabridge

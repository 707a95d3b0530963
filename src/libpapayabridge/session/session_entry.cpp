#include "session_entry.hpp"

#include "core/control/keeper_choice.hpp"
#include "net/metrics_page.hpp"
#include "process_limits.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
// Keeps the view young enough for commits to need no proof; see
// core/promotion/commit_proof.
constexpr std::chrono::milliseconds watch_wait{400};
constexpr std::chrono::milliseconds watch_retry{60};
// Part of the time for the withdrawal of keys for which a copy of the directory is used.
// The rest is for clocks that run at different speeds.
constexpr int max_key_age_percent = 80;
// If no majority of keepers confirms the state within this time, the entry uses the
// state it receives.
constexpr std::chrono::milliseconds confirmation_wait{3000};
constexpr std::chrono::milliseconds propose_timeout{2000};
// When descriptors run out, accepting fails until a connection is closed.
constexpr std::chrono::milliseconds accept_pause{20};

std::uint64_t new_incarnation()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

// A quarter of the descriptors is left for members, other entries, keepers and files: 752
// of 3,010, of which the platform reserves 200.
session_limits limits_of(const session_settings& settings)
{
    auto memory =
        settings.caller_memory.value_or(default_caller_memory(machine_memory_bytes()));
    return {.memory = make_memory_limits(memory),
            .max_sessions = settings.max_sessions.value_or(descriptor_limit() / 4 * 3)};
}

} // namespace

session_entry::session_entry(daemon_runtime& runtime, session_settings settings,
                             session_protocols protocols)
    : runtime_(runtime), settings_(std::move(settings)), protocols_(std::move(protocols)),
      executor_(runtime.control_context().get_executor()),
      clients_(std::make_shared<rpc_clients>(executor_, std::make_shared<link_table>(),
                                             token_codec(settings_.fleet_key))),
      keepers_(executor_, clients_, {}), pool_(executor_, protocols_.member_protocol),
      local_(executor_, pool_, protocols_.member_protocol, report_),
      verifier_(executor_, pool_, protocols_.member_protocol),
      gate_(executor_, local_, pool_),
      members_({.executor = executor_,
                .self = settings_.id,
                .fleet_key = token_codec(settings_.fleet_key),
                .local = local_,
                .gate = gate_,
                .pool = pool_}),
      limiter_({.executor = executor_,
                .self = settings_.id,
                .fleet_key = token_codec(settings_.fleet_key)}),
      services_{.executor = executor_,
                .caller_protocol = protocols_.caller_protocol,
                .pool = pool_,
                .members = members_,
                .view = std::make_shared<pool_view>(),
                .report = report_,
                .limiter = &limiter_},
      sessions_(limits_of(settings_)), acceptor_(runtime.control_context()),
      incarnation_(new_incarnation())
{
    local_.use_verifier(verifier_);
    if (settings_.key_withdrawal) {
        services_.max_key_age = *settings_.key_withdrawal * max_key_age_percent / 100;
    }
}

session_entry::~session_entry() = default;

net::awaitable<void> session_entry::sleep_for(std::chrono::milliseconds time)
{
    net::steady_timer timer(executor_);
    timer.expires_after(time);
    co_await timer.async_wait(use_tuple);
}

result<void> session_entry::start()
{
    started_ = steady_clock::now();
    update_keeper_endpoints();
    return_large_blocks();
    boost::system::error_code failed;
    acceptor_.open(settings_.callers.protocol(), failed);
    if (!failed) {
        acceptor_.set_option(net::socket_base::reuse_address(true), failed);
        acceptor_.bind(settings_.callers, failed);
    }
    if (!failed) {
        acceptor_.listen(net::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return fail(error_kind::unreachable, "cannot listen at " +
                                                 to_string(settings_.callers) + ": " +
                                                 failed.message());
    }
    if (settings_.metrics) {
        metrics_ = make_metrics_page(runtime_.control_context(), *settings_.metrics,
                                     [this] { update_gauges(); });
        auto started = metrics_->start();
        if (!started) {
            return started;
        }
    }
    if (settings_.gates) {
        gate_server_.emplace(
            executor_, gate_,
            gate_server_options{.listen = *settings_.gates,
                                .fleet_key = token_codec(settings_.fleet_key),
                                .tokens = &limiter_});
        auto started = gate_server_->start();
        if (!started) {
            return started;
        }
    }
    net::co_spawn(executor_, accept(), net::detached);
    net::co_spawn(executor_, follow_keepers(), net::detached);
    net::co_spawn(executor_, check_members(), net::detached);
    net::co_spawn(executor_, check_callers(), net::detached);
    return success();
}

net::awaitable<void> session_entry::accept()
{
    while (acceptor_.is_open()) {
        auto [failed, socket] = co_await acceptor_.async_accept(use_tuple);
        if (failed == net::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            log_line(log_event::accept_failed, {{"detail", failed.message()}});
            co_await sleep_for(accept_pause);
            continue;
        }
        boost::system::error_code ignored;
        if (!sessions_.admit_connection(socket.remote_endpoint(ignored))) {
            continue;
        }
        auto session =
            std::make_shared<caller_session>(std::move(socket), services_, sessions_);
        session->start();
    }
}

// --- Following the keepers ---

net::awaitable<void> session_entry::register_self()
{
    command change = register_entry{
        .entry = {.id = settings_.id,
                  .incarnation = incarnation_,
                  .http = to_string(settings_.callers),
                  .rpc = settings_.gates ? to_string(*settings_.gates) : std::string(),
                  .domain = settings_.location.domain,
                  .region = settings_.location.region}};
    auto outcome = co_await keepers_.propose(std::move(change),
                                             steady_clock::now() + propose_timeout);
    if (!outcome) {
        log_line(log_event::registration_failed, {{"detail", outcome.error().str()}});
        co_await sleep_for(watch_retry);
    }
    registering_ = false;
}

void session_entry::log_keeper_contact(const result<watch_update>& update)
{
    auto applied = log_number(state_.applied_index().value());
    if (update) {
        log_line(log_event::keepers_reached, {{"applied", applied}});
    } else {
        log_line(log_event::keepers_lost,
                 {{"applied", applied}, {"detail", update.error().str()}});
    }
}

void session_entry::log_followed_keeper(const std::optional<tcp::endpoint>& keeper)
{
    auto at = keeper ? to_string(*keeper) : std::string();
    log_line(log_event::keeper_followed,
             {{"keeper", at}, {"applied", log_number(state_.applied_index().value())}});
}

net::awaitable<void> session_entry::follow_keepers()
{
    entry_identity self{.id = settings_.id, .incarnation = incarnation_};
    bool connected = false;
    std::optional<tcp::endpoint> followed;
    while (true) {
        auto from = state_confirmed_ ? state_.applied_index() : control_index();
        if (keepers_.current_keeper() != followed) {
            followed = keepers_.current_keeper();
            log_followed_keeper(followed);
        }
        auto asked = steady_clock::now();
        auto asked_boottime = boottime_now();
        watch_options options{.confirm = !state_confirmed_,
                              .only_confirmed =
                                  !state_confirmed_ && !has_waited_for_confirmation(),
                              .wants_confirmed_age = services_.max_key_age.has_value()};
        auto update = co_await keepers_.watch(from, watch_wait, self, options);
        if (update) {
            bool is_current = update.value().is_current;
            auto state_age = update.value().state_age;
            auto confirmed_age = update.value().confirmed_age;
            apply_update(std::move(update.value()));
            if (confirmed_age && state_confirmed_) {
                auto complete_at = asked_boottime - *confirmed_age;
                services_.view_complete_at = std::max(
                    services_.view_complete_at.value_or(complete_at), complete_at);
            }
            if (is_current && state_confirmed_) {
                state_current_at_ = steady_clock::now();
                verifier_.record_complete_view(asked - state_age);
            }
        } else {
            co_await sleep_for(watch_retry);
        }
        services_.keepers_reachable = bool(update);
        if (bool(update) != connected) {
            connected = bool(update);
            log_keeper_contact(update);
        }
        if (update && !is_registered() && !registering_ && !stopping_) {
            registering_ = true;
            net::co_spawn(executor_, register_self(), net::detached);
        }
    }
}

bool session_entry::has_waited_for_confirmation() const
{
    return steady_clock::now() - started_ > confirmation_wait;
}

void session_entry::apply_update(watch_update update)
{
    bool changed = update.snapshot.has_value() || !update.commands.empty();
    // A keeper that has just started may hold an older configuration than the one this
    // entry used before its restart.
    bool is_accepted =
        update.is_up_to_date || (update.snapshot && has_waited_for_confirmation());
    state_confirmed_ = state_confirmed_ || is_accepted;
    if (!state_confirmed_) {
        return;
    }
    if (update.snapshot) {
        state_ = std::move(*update.snapshot);
    }
    for (const auto& entry : update.commands) {
        state_.apply(entry.index, entry.change);
    }
    if (changed) {
        update_view();
    }
}

void session_entry::update_view()
{
    const auto& published = state_.pool().configuration();
    if (published.version > configuration_.version) {
        auto decoded = protocols_.decode_configuration(published.text);
        if (decoded) {
            auto before = configuration_.version;
            configuration_ = std::move(decoded.value());
            ready_ = true;
            log_line(log_event::configuration_in_force,
                     {{"version", log_number(published.version.value())},
                      {"before", log_number(before.value())},
                      {"routes", log_number(configuration_.routes.size())}});
        } else {
            log_line(log_event::configuration_unreadable,
                     {{"version", log_number(published.version.value())},
                      {"detail", decoded.error().detail}});
        }
    }
    auto view = std::make_shared<pool_view>(
        make_view(state_, configuration_, settings_.location));
    // The last quarter is left for running statements and for a late notice of the
    // leaving member.
    view->leaving_limit = settings_.member_drain * 3 / 4;
    view->current_before = state_current_at_;
    for (const auto& [name, service] : view->services) {
        const auto* before = services_.view->service(name);
        if (before == nullptr || before->primary_changes != service.primary_changes) {
            log_line(log_event::primary_known,
                     {{"service", name.str()},
                      {"member", service.primary.str()},
                      {"change", log_number(service.primary_changes)}});
        }
    }
    log_member_changes(*services_.view, *view);
    auto before = std::exchange(services_.view, view);
    pool_.update(services_.view);
    gate_.update(services_.view);
    verifier_.update(services_.view);
    members_.update(services_.view);
    limiter_.update(services_.view);
    update_keeper_endpoints();
    bool is_suspicion_new =
        std::any_of(view->services.begin(), view->services.end(), [&](const auto& item) {
            const auto* known = before->service(item.first);
            return item.second.suspected_since != control_index() &&
                   (known == nullptr ||
                    known->suspected_since != item.second.suspected_since);
        });
    if (is_suspicion_new) {
        report_primaries();
    }
}

// Logs each member that was added, changed or removed.
void session_entry::log_member_changes(const pool_view& before,
                                       const pool_view& now) const
{
    std::map<member_id, std::pair<member_run, bool>> known;
    for (const auto& [name, service] : before.services) {
        for (const auto& member : service.members) {
            known[member.run.id] = {member.run, member.leaving};
        }
    }
    for (const auto& [name, service] : now.services) {
        for (const auto& member : service.members) {
            auto found = known.find(member.run.id);
            bool same = found != known.end() && found->second.first == member.run &&
                        found->second.second == member.leaving;
            if (found != known.end()) {
                known.erase(found);
            }
            if (same) {
                continue;
            }
            auto at = to_string(member.endpoint);
            log_line(log_event::member_known,
                     {{"service", name.str()},
                      {"member", member.run.id.str()},
                      {"at", at},
                      {"distance", log_number(member.distance)},
                      {"leaving", member.leaving ? "true" : "false"}});
        }
    }
    for (const auto& [id, run] : known) {
        log_line(log_event::member_gone, {{"member", id.str()}});
    }
}

void session_entry::update_keeper_endpoints()
{
    std::vector<keeper_candidate> candidates;
    for (const auto& [id, place] : state_.pool().keepers()) {
        candidates.push_back({.address = place.rpc,
                              .distance = settings_.location.distance_to(place.domain)});
    }
    std::vector<tcp::endpoint> keepers;
    auto add = [&keepers](const std::vector<keeper_candidate>& ordered) {
        for (const auto& candidate : ordered) {
            auto endpoint = parse_endpoint(candidate.address);
            bool is_new =
                endpoint && std::count(keepers.begin(), keepers.end(), *endpoint) == 0;
            if (is_new) {
                keepers.push_back(*endpoint);
            }
        }
    };
    add(order_keepers(settings_.id, std::move(candidates)));
    // The seeds stay in the list because all known keepers may have been replaced while
    // this entry was disconnected.
    std::vector<keeper_candidate> seeds;
    for (const auto& seed : settings_.seeds) {
        seeds.push_back({.address = to_string(seed)});
    }
    add(order_keepers(settings_.id, std::move(seeds)));
    keepers_.set_keepers(std::move(keepers));
}

// --- Metrics ---

void session_entry::update_gauges() const
{
    auto& all = metrics::process();
    all.gauge_of("papaya_sessions").set(log_number(sessions_.size()));
    all.gauge_of("papaya_caller_memory_bytes").set(log_number(sessions_.held_bytes()));
    all.gauge_of("papaya_member_connections").set(log_number(pool_.open_connections()));
    all.gauge_of("papaya_statements_waiting").set(log_number(pool_.waiting_statements()));
    all.gauge_of("papaya_gate_running").set(log_number(gate_.running()));
    all.gauge_of("papaya_gate_waiting").set(log_number(gate_.waiting()));
    all.gauge_of("papaya_gate_transactions")
        .set(log_number(gate_server_ ? gate_server_->transactions() : 0));
    all.gauge_of("papaya_configuration_version")
        .set(log_number(configuration_.version.value()));
    all.gauge_of("papaya_control_index").set(log_number(state_.applied_index().value()));
}

} // namespace papayabridge

#include "session_entry.hpp"

#include "net/metrics_page.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

constexpr auto use_tuple = net::as_tuple(net::use_awaitable);
constexpr std::chrono::milliseconds watch_wait{1000};
constexpr std::chrono::milliseconds watch_retry{60};
// Without a majority of the keepers for so long an entry serves what it is given.
constexpr std::chrono::milliseconds confirmation_wait{3000};
constexpr std::chrono::milliseconds propose_timeout{2000};
// While a primary cannot be used, the keepers hear of it so often.
constexpr std::chrono::milliseconds trouble_period{150};
// A member with statements under way that gives no answer at all for so long is in
// trouble; one that is busy answers some of them.
constexpr std::chrono::milliseconds silence_limit{450};
// A failure that is not repeated for so long is no trouble any more.
constexpr std::chrono::milliseconds trouble_validity{600};
// Without descriptors no connection can be accepted until one is closed.
constexpr std::chrono::milliseconds accept_pause{20};
// The balancer asks once a second and takes an entry out after two misses.
constexpr std::chrono::milliseconds unready_notice{2300};
constexpr std::chrono::milliseconds wind_down_poll{20};
// Left of the grace when the process ends by itself.
constexpr std::chrono::milliseconds exit_margin{700};

std::uint64_t new_incarnation()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

// Since when a member has left statements without an answer, if it does so for longer
// than a busy one would.
std::optional<time_point> silent_since(const member_health& health, time_point now)
{
    if (health.outstanding > 0 && now - health.last_sign > silence_limit) {
        return health.last_sign;
    }
    if (health.writes_outstanding > 0 && now - health.last_write_sign > silence_limit) {
        return health.last_write_sign;
    }
    return std::nullopt;
}

} // namespace

session_entry::session_entry(daemon_runtime& runtime, session_settings settings,
                             session_protocols protocols)
    : runtime_(runtime), settings_(std::move(settings)), protocols_(std::move(protocols)),
      executor_(runtime.control_context().get_executor()),
      clients_(std::make_shared<rpc_clients>(executor_, std::make_shared<link_table>(),
                                             token_codec(settings_.fleet_key))),
      keepers_(executor_, clients_, settings_.seeds),
      pool_(executor_, protocols_.member_protocol),
      services_{.executor = executor_,
                .callers = protocols_.caller_protocol,
                .members = protocols_.member_protocol,
                .pool = pool_,
                .view = std::make_shared<pool_view>(),
                .report = report_},
      acceptor_(runtime.control_context()), incarnation_(new_incarnation())
{
}

session_entry::~session_entry() = default;

net::awaitable<void> session_entry::pause(std::chrono::milliseconds time)
{
    net::steady_timer timer(executor_);
    timer.expires_after(time);
    co_await timer.async_wait(use_tuple);
}

result<void> session_entry::start()
{
    started_ = steady_clock::now();
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
                                     [this] { show_gauges(); });
        auto started = metrics_->start();
        if (!started) {
            return started;
        }
    }
    net::co_spawn(executor_, accept(), net::detached);
    net::co_spawn(executor_, follow_keepers(), net::detached);
    net::co_spawn(executor_, tell_troubles(), net::detached);
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
            co_await pause(accept_pause);
            continue;
        }
        auto session =
            std::make_shared<caller_session>(std::move(socket), services_, sessions_);
        session->start();
    }
}

// --- Following the keepers ---

bool session_entry::is_registered() const
{
    const auto* known = state_.entry(settings_.id);
    return known != nullptr && known->incarnation == incarnation_ &&
           known->condition == entry_condition::up;
}

net::awaitable<void> session_entry::register_self()
{
    command change = register_entry{.entry = {.id = settings_.id,
                                              .incarnation = incarnation_,
                                              .http = to_string(settings_.callers),
                                              .domain = settings_.location.domain,
                                              .region = settings_.location.region}};
    auto outcome = co_await keepers_.propose(std::move(change),
                                             steady_clock::now() + propose_timeout);
    if (!outcome) {
        log_line(log_event::registration_failed, {{"detail", outcome.error().str()}});
        co_await pause(watch_retry);
    }
    registering_ = false;
}

void session_entry::note_contact(const result<watch_update>& update)
{
    auto applied = log_number(state_.applied_index().value());
    if (update) {
        log_line(log_event::keepers_reached, {{"applied", applied}});
    } else {
        log_line(log_event::keepers_lost,
                 {{"applied", applied}, {"detail", update.error().str()}});
    }
}

net::awaitable<void> session_entry::follow_keepers()
{
    entry_identity self{.id = settings_.id, .incarnation = incarnation_};
    bool in_touch = false;
    while (true) {
        auto from = confirmed_ ? state_.applied_index() : control_index();
        auto update = co_await keepers_.watch(from, watch_wait, self, !confirmed_);
        if (update) {
            take_update(std::move(update.value()));
        } else {
            co_await pause(watch_retry);
        }
        services_.follows_keepers = bool(update);
        if (bool(update) != in_touch) {
            in_touch = bool(update);
            note_contact(update);
        }
        if (update && !is_registered() && !registering_ && !stopping_) {
            registering_ = true;
            net::co_spawn(executor_, register_self(), net::detached);
        }
    }
}

void session_entry::take_update(watch_update update)
{
    bool changed = update.snapshot.has_value() || !update.commands.empty();
    // A keeper that has just started may know an older configuration than this entry
    // obeyed before its own start.
    bool waited = steady_clock::now() - started_ > confirmation_wait;
    confirmed_ = confirmed_ || update.is_up_to_date || waited;
    if (!confirmed_) {
        return;
    }
    if (update.snapshot) {
        state_ = std::move(*update.snapshot);
    }
    for (const auto& one : update.commands) {
        state_.apply(one.index, one.change);
    }
    if (changed) {
        publish();
    }
}

void session_entry::publish()
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
    // The rest of the time is for what is under way, and for news that came late.
    view->leave_limit = settings_.member_drain * 3 / 4;
    for (const auto& [name, service] : view->services) {
        const auto* before = services_.view->service(name);
        if (before == nullptr || before->primary_changes != service.primary_changes) {
            log_line(log_event::primary_known,
                     {{"service", name.str()},
                      {"member", service.primary.str()},
                      {"change", log_number(service.primary_changes)}});
        }
    }
    note_members(*services_.view, *view);
    services_.view = view;
    pool_.update(services_.view);
    use_keepers();
}

// What this entry believes of each member, where that changed.
void session_entry::note_members(const pool_view& before, const pool_view& now) const
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

void session_entry::use_keepers()
{
    std::vector<std::pair<unsigned, tcp::endpoint>> places;
    for (const auto& [id, place] : state_.pool().keepers()) {
        auto endpoint = parse_endpoint(place.rpc);
        if (endpoint) {
            places.emplace_back(settings_.location.distance_to(place.domain), *endpoint);
        }
    }
    std::sort(places.begin(), places.end());
    std::vector<tcp::endpoint> keepers;
    keepers.reserve(places.size() + settings_.seeds.size());
    for (const auto& [distance, endpoint] : places) {
        keepers.push_back(endpoint);
    }
    // All keepers that are known may be gone while this entry hears of none of it.
    for (const auto& seed : settings_.seeds) {
        if (std::find(keepers.begin(), keepers.end(), seed) == keepers.end()) {
            keepers.push_back(seed);
        }
    }
    keepers_.set_keepers(std::move(keepers));
}

// --- Troubles ---

void session_entry::show_gauges() const
{
    auto& all = metrics::process();
    all.gauge_of("papaya_sessions").set(log_number(sessions_.size()));
    all.gauge_of("papaya_member_connections").set(log_number(pool_.open_connections()));
    all.gauge_of("papaya_statements_waiting").set(log_number(pool_.waiting()));
    all.gauge_of("papaya_configuration_version")
        .set(log_number(configuration_.version.value()));
    all.gauge_of("papaya_control_index").set(log_number(state_.applied_index().value()));
}

net::awaitable<void> session_entry::tell_troubles()
{
    while (true) {
        auto view = services_.view;
        pool_.close_unused();
        for (const auto& [name, service] : view->services) {
            for (const auto& member : service.members) {
                look_at(name, member.run.id, member.run.id == service.primary);
            }
        }
        co_await pause(trouble_period);
    }
}

void session_entry::look_at(const service_name& service, const member_id& member,
                            bool is_primary)
{
    auto now = steady_clock::now();
    auto& health = pool_.health(member);
    auto since = silent_since(health, now);
    if (since) {
        if (now >= health.avoid_until) {
            log_line(log_event::member_silent,
                     {{"service", service.str()},
                      {"member", member.str()},
                      {"since_us", log_us(now - *since)},
                      {"outstanding", log_number(health.outstanding)}});
        }
        // Other members are used meanwhile, where there are any.
        health.avoid_until = std::max(health.avoid_until, now + trouble_period);
    } else if (now - health.last_failure < trouble_validity) {
        since = health.failing_since ? health.failing_since : health.writes_failing_since;
    }
    if (!since || !is_primary) {
        return;
    }
    keepers_.report_member_trouble(
        {.entry = settings_.id,
         .service = service,
         .member = member,
         .duration =
             std::chrono::duration_cast<std::chrono::milliseconds>(now - *since)});
}

// --- Stopping ---

void session_entry::reload(const session_settings& settings)
{
    settings_.seeds = settings.seeds;
    use_keepers();
    log_line(log_event::settings_reloaded,
             {{"seeds", log_number(settings.seeds.size())}});
}

void session_entry::stop()
{
    if (!stopping_) {
        stopping_ = true;
        log_line(log_event::process_stopping,
                 {{"sessions", log_number(sessions_.size())}});
        net::co_spawn(executor_, wind_down(), net::detached);
    }
}

void session_entry::close_sessions(bool in_transactions, bool running)
{
    for (const auto& session : sessions_.all()) {
        bool due = session->is_at_rest() || (in_transactions && !session->is_running());
        if (due || running) {
            session->close();
        }
    }
}

// Sessions come until the balancer has seen that this entry is not ready. Then those at
// rest are closed, later those inside transactions; running statements are answered.
net::awaitable<void> session_entry::wind_down()
{
    auto began = steady_clock::now();
    auto transactions_until = began + settings_.stop_grace / 2;
    auto end = began + settings_.stop_grace - exit_margin;
    co_await pause(std::min(unready_notice, settings_.stop_grace / 2));
    sessions_.closes_at_rest = true;
    while (sessions_.size() > 0 && steady_clock::now() < end) {
        close_sessions(steady_clock::now() >= transactions_until, false);
        co_await pause(wind_down_poll);
    }
    log_line(log_event::process_stopped, {{"sessions", log_number(sessions_.size())}});
    runtime_.stop();
}

} // namespace papayabridge

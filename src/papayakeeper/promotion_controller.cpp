// Decides when a service needs another primary.

#include "promotion_controller.hpp"

#include "elapsed.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>

namespace papayabridge {

namespace {

// How often the leader checks whether a service needs another primary.
constexpr std::chrono::milliseconds check_interval{25};
// Ten times as long as an answer from another region takes.
constexpr std::chrono::milliseconds probe_timeout{300};
// Delay between two attempts at the same service.
constexpr std::chrono::milliseconds retry_interval{150};
// A complaint expires if it is not repeated within this time; entries repeat it five
// times a second.
constexpr std::chrono::milliseconds complaint_validity{700};
// How often the remaining replicas are checked for completeness after a member left.
constexpr std::chrono::milliseconds coverage_check_interval{400};

// A replica that starts reports itself within this time, also if two of its calls reach a
// keeper that does not answer within their limit of one second.
constexpr std::chrono::milliseconds report_time{2500};

constexpr std::array<std::string_view, 4> probe_names{"leads", "answers", "silent",
                                                      "stopped"};

} // namespace

promotion_controller::promotion_controller(
    net::any_io_executor executor, replicator& replicated, const member_codec& codec,
    promotion_port& port, configuration_decoder decoder, std::string holder)
    : executor_(std::move(executor)), replicated_(replicated), codec_(codec), port_(port),
      decoder_(std::move(decoder)), holder_(std::move(holder))
{
}

void promotion_controller::start()
{
    net::co_spawn(executor_, run(), net::detached);
}

net::awaitable<void> promotion_controller::sleep_for(std::chrono::milliseconds time)
{
    net::steady_timer timer(executor_);
    timer.expires_after(time);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

bool promotion_controller::is_leading() const
{
    return !stopping_ && replicated_.duties().is_leading();
}

std::size_t promotion_controller::count_up_entries() const
{
    const auto& entries = replicated_.applied().state().entries();
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [](const auto& entry) {
            return entry.second.condition == entry_condition::up;
        }));
}

unsigned promotion_controller::synchronous_copies_of(const service_name& name)
{
    const auto& published = replicated_.applied().state().pool().configuration();
    if (published.version != configuration_.version) {
        auto decoded = decoder_(published.text);
        if (decoded) {
            configuration_ = std::move(decoded.value());
        } else {
            log_line(log_event::configuration_unreadable,
                     {{"detail", decoded.error().detail}});
        }
    }
    auto found = configuration_.services.find(name);
    // One copy is the strictest assumption, which is safe for a service without a
    // configuration.
    return found == configuration_.services.end() ? 1
                                                  : found->second.synchronous_replicas;
}

member_id promotion_controller::primary_of(const service_name& name) const
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(name);
    return found == services.end() ? member_id() : found->second.primary;
}

member_run promotion_controller::primary_run(const service_name& name) const
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(name);
    if (found == services.end()) {
        return {};
    }
    return {.id = found->second.primary, .started_ms = found->second.primary_started_ms};
}

const promotion* promotion_controller::pending_of(const service_name& name) const
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(name);
    bool is_pending = found != services.end() && found->second.pending;
    return is_pending ? &*found->second.pending : nullptr;
}

std::vector<member_id>
promotion_controller::outstanding_targets(const attempt& current) const
{
    const auto* pending = pending_of(current.name);
    if (pending == nullptr) {
        return {};
    }
    auto targets = pending->outstanding;
    bool is_earlier = pending->fencing_token != current.token;
    bool is_known = std::count(targets.begin(), targets.end(), pending->target) != 0;
    if (is_earlier && !pending->target.empty() && !is_known) {
        targets.push_back(pending->target);
    }
    return targets;
}

void promotion_controller::record_trouble(const member_failure& failure)
{
    auto now = steady_clock::now();
    auto& known = complaints_[failure.service][failure.entry];
    known = {
        .member = failure.member, .last_reported = now, .began = now - failure.duration};
}

std::size_t promotion_controller::count_complaints(const service_name& name,
                                                   const member_id& member,
                                                   time_point& began) const
{
    std::size_t count = 0;
    auto found = complaints_.find(name);
    if (found == complaints_.end()) {
        return 0;
    }
    auto now = steady_clock::now();
    began = now;
    for (const auto& [entry, reported] : found->second) {
        if (reported.member == member &&
            now - reported.last_reported < complaint_validity) {
            ++count;
            began = std::min(began, reported.began);
        }
    }
    return count;
}

net::awaitable<void> promotion_controller::run()
{
    while (!stopping_) {
        if (is_leading()) {
            // A copy, as promotions change the state.
            auto services = replicated_.applied().state().pool().services();
            for (const auto& [name, service] : services) {
                check_service(name, service);
            }
        } else {
            departures_.clear();
            complaints_.clear();
            suspected_since_.clear();
            commit_reports_.clear();
        }
        co_await sleep_for(check_interval);
    }
}

bool promotion_controller::is_coverage_check_due(const service_name& name)
{
    auto runs = replicated_.applied().state().pool().departed_of(name);
    if (runs.empty()) {
        departures_.erase(name);
        return false;
    }
    auto now = steady_clock::now();
    auto& watch = departures_[name];
    for (const auto& run : runs) {
        watch.seen_at.emplace(run, now);
    }
    if (now < watch.next_check) {
        return false;
    }
    watch.next_check = now + coverage_check_interval;
    return true;
}

std::size_t promotion_controller::count_departed(const service_name& name) const
{
    return replicated_.applied().state().pool().departed_of(name).size();
}

std::string promotion_controller::promotion_reason(const service_name& name,
                                                   const pooled_service& service)
{
    const auto& pool = replicated_.applied().state().pool();
    if (service.pending) {
        return "an earlier promotion is incomplete";
    }
    auto members = pool.members_of(name);
    if (members.empty()) {
        return {};
    }
    const auto* primary = pool.member(service.primary);
    if (primary == nullptr) {
        return service.primary.empty() ? "" : "the primary left";
    }
    bool replaceable =
        std::any_of(members.begin(), members.end(), [&](const auto* member) {
            return member != primary && !member->leaving;
        });
    if (primary->leaving && replaceable) {
        return "the primary is leaving";
    }
    time_point began;
    auto count = count_complaints(name, service.primary, began);
    return count > 0 ? std::to_string(count) + " entries cannot use the primary" : "";
}

void promotion_controller::update_suspicion(const service_name& name,
                                            const pooled_service& service)
{
    bool was_suspected = service.suspected_since != control_index();
    if (!was_suspected) {
        suspected_since_.erase(name);
        commit_reports_.erase(name);
    } else {
        // Recorded by this keeper or by an earlier leader; known to it from now on.
        suspected_since_.emplace(name, steady_clock::now());
    }
    time_point began;
    auto complaints = count_complaints(name, service.primary, began);
    bool is_suspected =
        !service.primary.empty() &&
        should_suspect_primary(complaints, count_up_entries(), was_suspected);
    // What the entries reported is needed until the attempt has ended.
    is_suspected = is_suspected || (was_suspected && service.pending);
    bool is_recording = recording_suspicion_.count(name) != 0;
    if (is_suspected != was_suspected && !is_recording) {
        recording_suspicion_.insert(name);
        suspect_primary change{
            .service = name, .primary = service.primary, .is_suspected = is_suspected};
        net::co_spawn(executor_, record_suspicion(std::move(change)), net::detached);
    }
}

net::awaitable<void> promotion_controller::record_suspicion(suspect_primary change)
{
    auto name = change.service;
    log_line(log_event::primary_suspected,
             {{"service", name.str()},
              {"member", change.primary.str()},
              {"suspected", change.is_suspected ? "true" : "false"}});
    command recorded = std::move(change);
    static_cast<void>(co_await propose(std::move(recorded)));
    recording_suspicion_.erase(name);
}

void promotion_controller::record_commits(const commit_report& report)
{
    if (is_leading()) {
        commit_reports_[report.service][report.entry] = report;
    }
}

acknowledged_commits promotion_controller::acknowledged_of(const service_name& name) const
{
    acknowledged_commits acknowledged;
    const auto& state = replicated_.applied().state();
    auto service = state.pool().services().find(name);
    auto reports = commit_reports_.find(name);
    auto since = suspected_since_.find(name);
    if (service == state.pool().services().end() || since == suspected_since_.end()) {
        return acknowledged;
    }
    std::set<entry_id> reported;
    if (reports != commit_reports_.end()) {
        for (const auto& [entry, report] : reports->second) {
            acknowledged.furthest = std::max(acknowledged.furthest, report.furthest);
            if (report.suspicion == service->second.suspected_since) {
                reported.insert(entry);
            }
        }
    }
    const auto& entries = state.entries();
    bool all_reported =
        std::all_of(entries.begin(), entries.end(), [&](const auto& entry) {
            return entry.second.condition == entry_condition::down ||
                   reported.count(entry.first) != 0;
        });
    acknowledged.is_complete =
        all_reported || elapsed_since(since->second) >= report_time;
    return acknowledged;
}

void promotion_controller::check_service(const service_name& name,
                                         const pooled_service& service)
{
    update_suspicion(name, service);
    auto now = steady_clock::now();
    auto retry = retry_at_.find(name);
    if (in_progress_.count(name) != 0 ||
        (retry != retry_at_.end() && now < retry->second)) {
        return;
    }
    auto reason = promotion_reason(name, service);
    if (!reason.empty()) {
        in_progress_.insert(name);
        net::co_spawn(executor_, run_promotion(name, std::move(reason)), net::detached);
    } else if (is_coverage_check_due(name)) {
        in_progress_.insert(name);
        net::co_spawn(executor_, check_coverage(name), net::detached);
    }
}

net::awaitable<void> promotion_controller::run_promotion(service_name name,
                                                         std::string reason)
{
    const auto& pool = replicated_.applied().state().pool();
    auto service = pool.services().at(name);
    const auto* primary = pool.member(service.primary);
    bool planned = !service.pending && primary != nullptr && primary->leaving;
    bool proceed = service.pending || planned || primary == nullptr;
    member_id silent;
    if (!proceed) {
        proceed = co_await confirm_primary_lost(name, service.primary, silent);
    }
    if (proceed && is_leading()) {
        co_await attempt_promotion(name, std::move(reason), planned, silent);
    }
    in_progress_.erase(name);
    retry_at_[name] = steady_clock::now() + retry_interval;
}

// Sets `silent` to the primary if it did not answer, so that the attempt does not wait
// for it again.
net::awaitable<bool> promotion_controller::confirm_primary_lost(service_name name,
                                                                member_id primary,
                                                                member_id& silent)
{
    const auto* member = replicated_.applied().state().pool().member(primary);
    if (member == nullptr) {
        co_return true;
    }
    member_contact contact(executor_, codec_, *member);
    co_await contact.connect(steady_clock::now() + probe_timeout);
    const auto& report = contact.report();
    if (!report.status && !contact.is_open()) {
        silent = primary;
    }
    auto probe = probe_outcome::no_answer;
    if (report.status) {
        probe =
            report.status->is_primary ? probe_outcome::primary : probe_outcome::replica;
    } else if (report.is_stopped) {
        probe = probe_outcome::not_listening;
    } else if (contact.is_open()) {
        // The session opened, but the member had no free slot to return its status.
        probe = probe_outcome::primary;
    }
    time_point began = steady_clock::now();
    auto count = count_complaints(name, primary, began);
    bool lost =
        should_replace_primary(probe, count, count_up_entries(), elapsed_since(began));
    log_line(log_event::primary_probed,
             {{"service", name.str()},
              {"member", primary.str()},
              {"probe", probe_names[static_cast<std::size_t>(probe)]},
              {"complaining", log_number(count)},
              {"entries", log_number(count_up_entries())},
              {"lasting_us", log_us(elapsed_since(began))},
              {"lost", lost ? "true" : "false"}});
    co_return lost;
}

} // namespace papayabridge

// When a service needs another primary.

#include "promotion_duty.hpp"

#include "elapsed.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>

namespace papayabridge {

namespace {

// How often the leader looks whether a service needs a primary.
constexpr std::chrono::milliseconds look_pause{25};
// An answer from another region takes a tenth of it.
constexpr std::chrono::milliseconds probe_timeout{300};
// Between two attempts at the same service.
constexpr std::chrono::milliseconds attempt_rest{150};
// A complaint that is not repeated for so long is over; entries repeat it five times a
// second.
constexpr std::chrono::milliseconds complaint_validity{700};
// How often it is checked whether the remaining replicas hold everything.
constexpr std::chrono::milliseconds coverage_pause{400};

constexpr std::array<std::string_view, 4> probe_words{"leads", "answers", "silent",
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

net::awaitable<void> promotion_controller::pause(std::chrono::milliseconds time)
{
    net::steady_timer timer(executor_);
    timer.expires_after(time);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

bool promotion_controller::leads() const
{
    return !stopping_ && replicated_.duties().is_leading();
}

std::size_t promotion_controller::entries_up() const
{
    const auto& entries = replicated_.applied().state().entries();
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [](const auto& one) {
            return one.second.condition == entry_condition::up;
        }));
}

unsigned promotion_controller::copies_of(const service_name& name)
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
    // Without a configuration the stricter assumption is safe.
    return found == configuration_.services.end() ? 1
                                                  : found->second.synchronous_replicas;
}

member_id promotion_controller::primary_of(const service_name& name) const
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(name);
    return found == services.end() ? member_id() : found->second.primary;
}

void promotion_controller::record_trouble(const member_failure& trouble)
{
    auto now = steady_clock::now();
    auto& known = complaints_[trouble.service][trouble.entry];
    known = {.member = trouble.member, .heard = now, .since = now - trouble.duration};
}

std::size_t promotion_controller::complaining(const service_name& name,
                                              const member_id& member,
                                              time_point& since) const
{
    std::size_t count = 0;
    auto found = complaints_.find(name);
    if (found == complaints_.end()) {
        return 0;
    }
    auto now = steady_clock::now();
    since = now;
    for (const auto& [entry, one] : found->second) {
        if (one.member == member && now - one.heard < complaint_validity) {
            ++count;
            since = std::min(since, one.since);
        }
    }
    return count;
}

net::awaitable<void> promotion_controller::run()
{
    while (!stopping_) {
        if (leads()) {
            // A copy: acting changes the state.
            auto services = replicated_.applied().state().pool().services();
            for (const auto& [name, service] : services) {
                look_at(name, service);
            }
        } else {
            departures_.clear();
            complaints_.clear();
        }
        co_await pause(look_pause);
    }
}

// A member that left, or started again, may have been the only replica to hold a commit.
void promotion_controller::note_departures(const service_name& name)
{
    auto& watch = departures_[name];
    std::map<member_id, member_run> present;
    for (const auto* member : replicated_.applied().state().pool().members_of(name)) {
        present[member->run.id] = member->run;
    }
    for (const auto& [id, run] : watch.seen) {
        auto found = present.find(id);
        if (found == present.end() || found->second != run) {
            watch.uncovered.insert(run);
        }
    }
    watch.seen = std::move(present);
}

std::string promotion_controller::reason_to_act(const service_name& name,
                                                const pooled_service& service)
{
    const auto& pool = replicated_.applied().state().pool();
    if (service.pending) {
        return "an earlier promotion is not finished";
    }
    auto members = pool.members_of(name);
    if (members.empty()) {
        return {};
    }
    const auto* primary = pool.member(service.primary);
    if (primary == nullptr) {
        return service.primary.empty() ? "" : "the primary left";
    }
    bool replaceable = std::any_of(members.begin(), members.end(), [&](const auto* one) {
        return one != primary && !one->leaving;
    });
    if (primary->leaving && replaceable) {
        return "the primary is leaving";
    }
    time_point since;
    auto count = complaining(name, service.primary, since);
    return count > 0 ? std::to_string(count) + " entries cannot use the primary" : "";
}

void promotion_controller::look_at(const service_name& name,
                                   const pooled_service& service)
{
    note_departures(name);
    auto now = steady_clock::now();
    auto rest = rest_until_.find(name);
    if (busy_.count(name) != 0 || (rest != rest_until_.end() && now < rest->second)) {
        return;
    }
    auto reason = reason_to_act(name, service);
    auto& watch = departures_[name];
    if (!reason.empty()) {
        busy_.insert(name);
        net::co_spawn(executor_, act(name, std::move(reason)), net::detached);
    } else if (!watch.uncovered.empty() && now >= watch.check_at) {
        watch.check_at = now + coverage_pause;
        busy_.insert(name);
        net::co_spawn(executor_, check_coverage(name), net::detached);
    }
}

net::awaitable<void> promotion_controller::act(service_name name, std::string reason)
{
    const auto& pool = replicated_.applied().state().pool();
    auto service = pool.services().at(name);
    const auto* primary = pool.member(service.primary);
    bool planned = !service.pending && primary != nullptr && primary->leaving;
    bool go = service.pending || planned || primary == nullptr;
    member_id silent;
    if (!go) {
        go = co_await is_confirmed_lost(name, service.primary, silent);
    }
    if (go && leads()) {
        co_await attempt(name, std::move(reason), planned, silent);
    }
    busy_.erase(name);
    rest_until_[name] = steady_clock::now() + attempt_rest;
}

// Sets \p silent to a primary that did not answer, so that it is not waited for again.
net::awaitable<bool> promotion_controller::is_confirmed_lost(service_name name,
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
        // It opened a session, but had no slot free to tell its status.
        probe = probe_outcome::primary;
    }
    time_point began = steady_clock::now();
    auto count = complaining(name, primary, began);
    bool lost = should_replace_primary(probe, count, entries_up(), elapsed_since(began));
    log_line(log_event::primary_probed,
             {{"service", name.str()},
              {"member", primary.str()},
              {"probe", probe_words[static_cast<std::size_t>(probe)]},
              {"complaining", log_number(count)},
              {"entries", log_number(entries_up())},
              {"lasting_us", log_us(elapsed_since(began))},
              {"lost", lost ? "true" : "false"}});
    co_return lost;
}

} // namespace papayabridge

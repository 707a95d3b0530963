// How an entry checks its members and reports primaries to the keepers.

#include "session_entry.hpp"

#include "core/control/update_batch.hpp"

namespace papayabridge {

namespace {

// How often members are checked and an unusable primary is reported to the keepers.
constexpr std::chrono::milliseconds check_period{150};
// A member that answers none of its outstanding statements for this long is unusable;
// an overloaded member still answers some of them.
constexpr std::chrono::milliseconds silence_limit{450};
// A failure that does not recur within this time is no longer reported.
constexpr std::chrono::milliseconds failure_validity{600};
// How often unopened sessions are looked for; a tenth of their timeout.
constexpr std::chrono::milliseconds caller_check_period{1000};

// Start of the period in which the member has answered no outstanding statement, if
// that is longer than an overloaded member would need.
std::optional<time_point> unanswered_since(const member_health& health, time_point now)
{
    if (health.outstanding > 0 && now - health.last_answer > silence_limit) {
        return health.last_answer;
    }
    if (health.writes_outstanding > 0 && now - health.last_write_answer > silence_limit) {
        return health.last_write_answer;
    }
    return std::nullopt;
}

} // namespace

net::awaitable<void> session_entry::check_members()
{
    while (true) {
        auto view = services_.view;
        pool_.close_unused();
        limiter_.check();
        if (gate_server_) {
            gate_server_->check(view->configuration.transaction_idle_limit);
        }
        failures_.clear();
        for (const auto& [name, service] : view->services) {
            for (const auto& member : service.members) {
                auto since = check_member(name, member.run.id);
                if (since && member.run.id == service.primary) {
                    auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(
                        steady_clock::now() - *since);
                    failures_.push_back({.entry = settings_.id,
                                         .service = name,
                                         .member = member.run.id,
                                         .duration = duration});
                }
            }
        }
        if (steady_clock::now() >= next_report_) {
            report_primaries();
        }
        co_await sleep_for(check_period);
    }
}

net::awaitable<void> session_entry::check_callers()
{
    while (true) {
        sessions_.check();
        co_await sleep_for(caller_check_period);
    }
}

std::optional<time_point> session_entry::check_member(const service_name& service,
                                                      const member_id& member)
{
    auto now = steady_clock::now();
    auto& health = pool_.health(member);
    auto since = unanswered_since(health, now);
    if (since) {
        if (now >= health.avoid_until) {
            log_line(log_event::member_silent,
                     {{"service", service.str()},
                      {"member", member.str()},
                      {"since_us", log_us(now - *since)},
                      {"outstanding", log_number(health.outstanding)}});
        }
        // Statements use other members meanwhile, if there are any.
        health.avoid_until = std::max(health.avoid_until, now + check_period);
    } else if (now - health.last_failure < failure_validity) {
        since = health.failing_since ? health.failing_since : health.writes_failing_since;
    }
    return since;
}

// Repeated while the failure or the suspicion lasts, as a report may be lost, or another
// keeper may lead.
void session_entry::report_primaries()
{
    primary_report report{.failures = failures_};
    for (const auto& [name, service] : services_.view->services) {
        if (service.suspected_since != control_index()) {
            report.commits.push_back({.entry = settings_.id,
                                      .service = name,
                                      .suspicion = service.suspected_since,
                                      .furthest = verifier_.furthest_unproved(name)});
        }
    }
    if (!report.failures.empty() || !report.commits.empty()) {
        next_report_ = steady_clock::now() + report_interval(services_.view->entries);
        keepers_.report_primaries(report);
    }
}

} // namespace papayabridge

// One attempt to change the primary of a service, from obtaining a fencing token to the
// confirmation of the new primary.

#include "promotion_controller.hpp"

#include "elapsed.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>
#include <papayabridge/metrics.hpp>

namespace papayabridge {

namespace {

// A live member answers within this time across regions, even if its slots are busy.
constexpr std::chrono::milliseconds reach_timeout{500};
constexpr std::chrono::milliseconds propose_timeout{1500};
// An accepted promotion takes effect within this time; after it, a new attempt begins.
constexpr std::chrono::milliseconds takeover_timeout{3500};
constexpr std::chrono::milliseconds takeover_poll_interval{40};
// The target is queried only if its announcement has not arrived after this time.
constexpr std::chrono::milliseconds takeover_query_delay{300};
constexpr std::chrono::milliseconds throttle_retry_interval{100};
// How long a planned change waits for the target to catch up with the primary.
constexpr std::chrono::milliseconds catch_up_timeout{400};
constexpr std::chrono::milliseconds catch_up_poll_interval{15};

} // namespace

net::awaitable<result<control_index>> promotion_controller::propose(command change)
{
    auto accepted = co_await replicated_.propose(
        std::move(change), steady_clock::now() + propose_timeout, true);
    if (!accepted) {
        log_line(log_event::promotion_step_not_accepted,
                 {{"detail", accepted.error().str()}});
        co_return accepted.error();
    }
    co_return accepted.value().index;
}

net::awaitable<void> promotion_controller::run_on_each(contact_list& contacts,
                                                       contact_action action)
{
    std::size_t running = contacts.size();
    net::steady_timer done(executor_);
    done.expires_at(time_point::max());
    for (auto& contact : contacts) {
        auto finished = [&running, &done](const std::exception_ptr&) {
            if (--running == 0) {
                done.cancel();
            }
        };
        net::co_spawn(executor_, action(*contact), finished);
    }
    while (running > 0) {
        co_await done.async_wait(net::as_tuple(net::use_awaitable));
    }
}

net::awaitable<promotion_controller::contact_list>
promotion_controller::connect_members(service_name name, member_id excluded)
{
    contact_list contacts;
    for (const auto* member : replicated_.applied().state().pool().members_of(name)) {
        contacts.push_back(std::make_unique<member_contact>(executor_, codec_, *member));
    }
    auto deadline = steady_clock::now() + reach_timeout;
    contact_action reach = [=](member_contact& contact) -> net::awaitable<void> {
        if (contact.report().run.id != excluded) {
            co_await contact.connect(deadline);
        }
    };
    co_await run_on_each(contacts, std::move(reach));
    co_return contacts;
}

net::awaitable<void> promotion_controller::stop_receiving(contact_list& contacts,
                                                          member_id primary,
                                                          member_id target)
{
    std::vector<member_report> reports;
    for (const auto& contact : contacts) {
        reports.push_back(contact->report());
    }
    auto stop_below = highest_known_term(reports).next();
    auto deadline = steady_clock::now() + reach_timeout;
    contact_action stop = [=](member_contact& contact) -> net::awaitable<void> {
        const auto& id = contact.report().run.id;
        if (id != primary && id != target) {
            co_await contact.stop_receiving(stop_below, deadline);
        }
    };
    co_await run_on_each(contacts, std::move(stop));
}

net::awaitable<void> promotion_controller::resume_receiving(contact_list& contacts)
{
    auto deadline = steady_clock::now() + reach_timeout;
    contact_action resume = [deadline](member_contact& contact) -> net::awaitable<void> {
        bool stopped = contact.report().status &&
                       contact.report().status->stopped_below.value() != 0;
        if (stopped) {
            co_await contact.resume_receiving(deadline);
        }
    };
    co_await run_on_each(contacts, std::move(resume));
}

promotion_input promotion_controller::build_promotion_input(const service_name& name,
                                                            const contact_list& contacts)
{
    promotion_input input{.primary = primary_of(name),
                          .copies = synchronous_copies_of(name)};
    for (const auto& contact : contacts) {
        input.members.push_back(contact->report());
    }
    input.lost_holders = static_cast<unsigned>(departures_[name].uncovered.size());
    return input;
}

// An earlier promotion order may still be carried out. Ordering the promotion of the
// current primary with a higher token prevents this and changes nothing else.
net::awaitable<bool> promotion_controller::reaffirm_primary(service_name name,
                                                            member_id primary,
                                                            control_index token,
                                                            contact_list& contacts)
{
    auto answer = co_await port_.promote(name, primary, holder_, token);
    if (answer != promotion_answer::accepted) {
        co_return false;
    }
    co_await resume_receiving(contacts);
    command change =
        confirm_primary{.service = name, .fencing_token = token, .primary = primary};
    auto confirmed = co_await propose(std::move(change));
    co_return bool(confirmed);
}

// Only the target keeps receiving, so it holds every commit that is acknowledged from now
// on, and the service keeps running during the promotion. Commits acknowledged earlier
// are covered by the primary's position after the other replicas stopped: the target has
// to reach it.
net::awaitable<member_id>
promotion_controller::prepare_planned_target(service_name name, contact_list& contacts,
                                             member_id primary)
{
    auto target = planned_target(build_promotion_input(name, contacts));
    if (target.empty()) {
        co_return target;
    }
    co_await stop_receiving(contacts, primary, target);
    auto deadline = steady_clock::now() + catch_up_timeout;
    std::optional<position> primary_position;
    while (steady_clock::now() < deadline) {
        for (auto& contact : contacts) {
            const auto& id = contact->report().run.id;
            if (id == target || (id == primary && !primary_position)) {
                co_await contact->refresh_status(deadline);
            }
        }
        member_status target_status;
        for (auto& contact : contacts) {
            const auto& report = contact->report();
            if (report.run.id == primary && report.status && !primary_position) {
                primary_position = report.status->received;
            }
            if (report.run.id == target && report.status) {
                target_status = *report.status;
            }
        }
        if (primary_position && target_status.received >= *primary_position) {
            co_return target;
        }
        co_await sleep_for(catch_up_poll_interval);
    }
    co_return member_id();
}

// Logs the member reports from which the next primary was chosen.
void promotion_controller::log_comparison(const service_name& name, control_index token,
                                          const contact_list& contacts)
{
    for (const auto& contact : contacts) {
        const auto& report = contact->report();
        auto received = report.status ? report.status->received.str() : "unknown";
        log_line(
            log_event::promotion_compared,
            {{"service", name.str()},
             {"token", log_number(token.value())},
             {"member", report.run.id.str()},
             {"received", received},
             {"leads", report.status && report.status->is_primary ? "true" : "false"},
             {"stopped", report.is_stopped ? "true" : "false"}});
    }
}

net::awaitable<void> promotion_controller::attempt_promotion(service_name name,
                                                             std::string reason,
                                                             bool planned,
                                                             member_id silent)
{
    log_line(log_event::promotion_begun, {{"service", name.str()}, {"reason", reason}});
    command beginning = begin_promotion{.service = name, .reason = reason};
    auto begun = co_await propose(std::move(beginning));
    if (!begun) {
        co_return;
    }
    auto token = begun.value();
    auto contacts = co_await connect_members(name, silent);
    auto input = build_promotion_input(name, contacts);
    auto acting_primary = self_reported_primary(input.members);
    member_id target;
    if (planned && !acting_primary.empty()) {
        target = co_await prepare_planned_target(name, contacts, acting_primary);
    } else if (!acting_primary.empty() && acting_primary != input.primary) {
        // An earlier order has taken effect.
        static_cast<void>(
            co_await reaffirm_primary(name, acting_primary, token, contacts));
        co_return;
    } else {
        time_point began = steady_clock::now();
        auto count = count_complaints(name, input.primary, began);
        auto probe =
            acting_primary.empty() ? probe_outcome::no_answer : probe_outcome::primary;
        bool lost = should_replace_primary(probe, count, count_up_entries(),
                                           elapsed_since(began));
        if (!acting_primary.empty() && !lost) {
            static_cast<void>(
                co_await reaffirm_primary(name, acting_primary, token, contacts));
            co_return;
        }
        member_id no_target;
        co_await stop_receiving(contacts, input.primary, no_target);
        target = safe_target(build_promotion_input(name, contacts));
    }
    log_comparison(name, token, contacts);
    if (target.empty()) {
        log_line(log_event::promotion_not_safe,
                 {{"service", name.str()},
                  {"token", log_number(token.value())},
                  {"members", log_number(contacts.size())},
                  {"uncovered", log_number(departures_[name].uncovered.size())}});
        co_await resume_receiving(contacts);
        co_return;
    }
    command choice =
        choose_target{.service = name, .fencing_token = token, .target = target};
    auto chosen = co_await propose(std::move(choice));
    if (chosen && is_leading()) {
        co_await order_promotion(name, target, token);
    }
}

net::awaitable<void> promotion_controller::order_promotion(service_name name,
                                                           member_id target,
                                                           control_index token)
{
    auto answer = co_await port_.promote(name, target, holder_, token);
    while (answer == promotion_answer::throttled && is_leading()) {
        co_await sleep_for(throttle_retry_interval);
        answer = co_await port_.promote(name, target, holder_, token);
    }
    if (answer != promotion_answer::accepted && answer != promotion_answer::unclear) {
        co_return;
    }
    const auto* member = replicated_.applied().state().pool().member(target);
    if (member == nullptr) {
        co_return;
    }
    member_contact contact(executor_, codec_, *member);
    auto began = steady_clock::now();
    // An order with an unclear answer is soon repeated with a higher token.
    auto limit = answer == promotion_answer::accepted
                     ? takeover_timeout
                     : takeover_query_delay + reach_timeout;
    while (is_leading() && elapsed_since(began) < limit) {
        auto* due_contact =
            elapsed_since(began) < takeover_query_delay ? nullptr : &contact;
        if (co_await has_taken_over(name, target, token, due_contact)) {
            departures_[name].uncovered.clear();
            metrics::process()
                .latency_of("papaya_promotion_seconds", {{"service", name.str()}})
                .record(steady_clock::now() - began);
            log_line(log_event::primary_changed,
                     {{"service", name.str()},
                      {"member", target.str()},
                      {"token", log_number(token.value())},
                      {"took_us", log_us(elapsed_since(began))}});
            co_return;
        }
        co_await sleep_for(takeover_poll_interval);
    }
}

net::awaitable<bool> promotion_controller::has_taken_over(service_name name,
                                                          member_id target,
                                                          control_index token,
                                                          member_contact* contact)
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(name);
    if (found == services.end() || !found->second.pending) {
        co_return found != services.end() && found->second.primary == target;
    }
    if (contact == nullptr) {
        co_return false;
    }
    auto deadline = steady_clock::now() + reach_timeout;
    if (contact->is_open()) {
        co_await contact->refresh_status(deadline);
    } else {
        co_await contact->connect(deadline);
    }
    const auto& status = contact->report().status;
    if (!status || !status->is_primary) {
        co_return false;
    }
    command change =
        confirm_primary{.service = name, .fencing_token = token, .primary = target};
    auto confirmed = co_await propose(std::move(change));
    co_return bool(confirmed);
}

// Once every replica has reached a position that the primary had after the departures, no
// acknowledged commit depends on the departed members.
net::awaitable<void> promotion_controller::check_coverage(service_name name)
{
    auto departed = departures_[name].uncovered;
    member_id none_excluded;
    auto contacts = co_await connect_members(name, none_excluded);
    auto input = build_promotion_input(name, contacts);
    const member_status* primary = nullptr;
    for (const auto& member : input.members) {
        bool leads = member.status && member.status->is_primary;
        primary = leads && member.run.id == input.primary ? &*member.status : primary;
    }
    if (primary != nullptr) {
        auto deadline = steady_clock::now() + reach_timeout;
        contact_action refresh =
            [deadline](member_contact& contact) -> net::awaitable<void> {
            co_await contact.refresh_status(deadline);
        };
        co_await run_on_each(contacts, std::move(refresh));
        auto holds = [&](const auto& contact) {
            const auto& report = contact->report();
            return report.run.id == input.primary ||
                   (report.status && report.status->received >= primary->received);
        };
        if (std::all_of(contacts.begin(), contacts.end(), holds)) {
            for (const auto& run : departed) {
                departures_[name].uncovered.erase(run);
            }
        }
    }
    in_progress_.erase(name);
}

} // namespace papayabridge

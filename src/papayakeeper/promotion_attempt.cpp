// One attempt to change the primary of a service, from obtaining a fencing token to the
// choice of the member to promote. What is ordered then is in promotion_orders.cpp.

#include "promotion_controller.hpp"

#include "elapsed.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>
#include <papayabridge/metrics.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds propose_timeout{1500};
// How long a planned change waits for the target to catch up with the primary.
constexpr std::chrono::milliseconds catch_up_timeout{400};
constexpr std::chrono::milliseconds catch_up_poll_interval{15};
// What a primary sent before it stepped down arrives within this time.
constexpr std::chrono::milliseconds in_flight_time{100};

} // namespace

net::awaitable<result<control_index>> promotion_controller::propose(command change)
{
    auto asked = steady_clock::now();
    auto accepted =
        co_await replicated_.propose(std::move(change), asked + propose_timeout, true);
    if (!accepted) {
        log_line(log_event::promotion_step_not_accepted,
                 {{"detail", accepted.error().str()}});
        co_return accepted.error();
    }
    lead_proved_at_ = std::max(lead_proved_at_, asked);
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
    auto deadline = steady_clock::now() + member_reach_timeout;
    contact_action reach = [=](member_contact& contact) -> net::awaitable<void> {
        if (contact.report().run.id != excluded) {
            co_await contact.connect(deadline);
        }
    };
    co_await run_on_each(contacts, std::move(reach));
    co_return contacts;
}

promotion_input promotion_controller::build_promotion_input(const attempt& current)
{
    promotion_input input{.primary = current.acting_primary.empty()
                                         ? primary_of(current.name)
                                         : current.acting_primary,
                          .copies = synchronous_copies_of(current.name),
                          .stop_below = current.stop_below,
                          .final_position = current.final_position,
                          .outstanding = outstanding_targets(current),
                          .acknowledged = acknowledged_of(current.name)};
    for (const auto& contact : current.contacts) {
        input.members.push_back(contact->report());
    }
    input.lost_holders = static_cast<unsigned>(count_departed(current.name));
    return input;
}

net::awaitable<void> promotion_controller::stop_receiving(attempt& current)
{
    auto input = build_promotion_input(current);
    current.stop_below = highest_known_term(input.members).next();
    auto deadline = steady_clock::now() + member_reach_timeout;
    contact_action stop = [&, deadline](member_contact& contact) -> net::awaitable<void> {
        const auto& id = contact.report().run.id;
        if (id != input.primary && id != current.receiving) {
            co_await contact.stop_receiving(current.stop_below, deadline);
        }
    };
    co_await run_on_each(current.contacts, std::move(stop));
}

// A replica that starts during the attempt receives, and the primary counts its copy.
net::awaitable<std::size_t> promotion_controller::stop_new_members(attempt& current)
{
    contact_list arrived;
    for (const auto* member :
         replicated_.applied().state().pool().members_of(current.name)) {
        bool is_known = std::any_of(
            current.contacts.begin(), current.contacts.end(),
            [&](const auto& contact) { return contact->report().run == member->run; });
        if (!is_known) {
            arrived.push_back(
                std::make_unique<member_contact>(executor_, codec_, *member));
        }
    }
    if (arrived.empty()) {
        co_return 0;
    }
    auto count = arrived.size();
    auto deadline = steady_clock::now() + member_reach_timeout;
    contact_action stop = [&, deadline](member_contact& contact) -> net::awaitable<void> {
        co_await contact.connect(deadline);
        co_await contact.stop_receiving(current.stop_below, deadline);
    };
    co_await run_on_each(arrived, std::move(stop));
    for (auto& contact : arrived) {
        const auto& id = contact->report().run.id;
        auto is_same_member = [&](const auto& known) {
            return known->report().run.id == id;
        };
        current.contacts.erase(std::remove_if(current.contacts.begin(),
                                              current.contacts.end(), is_same_member),
                               current.contacts.end());
        current.contacts.push_back(std::move(contact));
    }
    co_return count;
}

net::awaitable<void> promotion_controller::step_down_primary(attempt& current)
{
    auto input = build_promotion_input(current);
    auto below = current.stop_below == term() ? highest_known_term(input.members).next()
                                              : current.stop_below;
    auto deadline = steady_clock::now() + member_reach_timeout;
    for (auto& contact : current.contacts) {
        if (contact->report().run.id != input.primary) {
            continue;
        }
        co_await contact->step_down(below, deadline);
        const auto& status = contact->report().status;
        if (status && !status->is_primary) {
            current.final_position = status->received;
            log_line(log_event::primary_stepped_down,
                     {{"service", current.name.str()},
                      {"token", log_number(current.token.value())},
                      {"member", input.primary.str()},
                      {"received", status->received.str()}});
        }
    }
}

net::awaitable<bool>
promotion_controller::wait_for_position(attempt& current, member_id target,
                                        position needed,
                                        std::chrono::milliseconds patience)
{
    auto deadline = steady_clock::now() + catch_up_timeout;
    auto give_up = std::min(deadline, steady_clock::now() + patience);
    auto primary = primary_of(current.name);
    std::optional<position> reached;
    while (steady_clock::now() < give_up) {
        contact_action refresh = [&](member_contact& contact) -> net::awaitable<void> {
            const auto& id = contact.report().run.id;
            if (id != primary && (target.empty() || id == target)) {
                co_await contact.refresh_status(deadline);
            }
        };
        co_await run_on_each(current.contacts, std::move(refresh));
        auto input = build_promotion_input(current);
        std::erase_if(input.members, [&](const auto& member) {
            return !target.empty() && member.run.id != target;
        });
        auto newest = most_advanced_position(input);
        if (newest && *newest >= needed) {
            co_return true;
        }
        if (newest > reached) {
            reached = newest;
            give_up = std::min(deadline, steady_clock::now() + patience);
        }
        co_await sleep_for(catch_up_poll_interval);
    }
    co_return false;
}

// Only the target keeps receiving, so it holds every commit that is acknowledged from now
// on, and the service keeps running during the promotion. Commits acknowledged earlier
// are covered by the primary's position after the other replicas stopped: the target has
// to reach it. If another replica could not be stopped, the primary has to step down,
// because it can go on with the copy of that one.
net::awaitable<member_id> promotion_controller::prepare_planned_target(attempt& current)
{
    auto input = build_promotion_input(current);
    auto target = planned_target(input);
    if (target.empty()) {
        co_return target;
    }
    current.receiving = target;
    auto run_of_target = [&] {
        auto found = std::find_if(
            current.contacts.begin(), current.contacts.end(),
            [&](const auto& contact) { return contact->report().run.id == target; });
        return found == current.contacts.end() ? member_run() : (*found)->report().run;
    };
    auto chosen_run = run_of_target();
    co_await stop_receiving(current);
    if (!co_await resume_member(current, target)) {
        co_return member_id();
    }
    std::optional<position> primary_position;
    for (auto& contact : current.contacts) {
        if (contact->report().run.id == input.primary) {
            co_await contact->refresh_status(steady_clock::now() + catch_up_timeout);
            if (contact->report().status) {
                primary_position = contact->report().status->received;
            }
        }
    }
    bool caught_up = false;
    if (primary_position) {
        caught_up = co_await wait_for_position(current, target, *primary_position,
                                               catch_up_timeout);
    }
    if (!caught_up) {
        co_return member_id();
    }
    co_await stop_new_members(current);
    if (run_of_target() != chosen_run) {
        // It was born anew and holds nothing.
        co_return member_id();
    }
    if (others_may_acknowledge(build_promotion_input(current), target)) {
        co_await step_down_primary(current);
        bool holds_all = false;
        if (current.final_position) {
            holds_all = co_await wait_for_position(
                current, target, *current.final_position, catch_up_timeout);
        }
        if (!holds_all) {
            co_return member_id();
        }
    }
    co_return target;
}

// A primary that leads keeps acknowledging with the copies of replicas that cannot be
// stopped or are not known yet, until the promotion takes effect. So it steps down first.
net::awaitable<member_id> promotion_controller::prepare_replacement(attempt& current,
                                                                    bool steps_down)
{
    if (steps_down) {
        co_await step_down_primary(current);
    }
    if (current.final_position) {
        member_id any_replica;
        static_cast<void>(co_await wait_for_position(
            current, any_replica, *current.final_position, in_flight_time));
    }
    co_await stop_receiving(current);
    co_await stop_new_members(current);
    co_return safe_target(build_promotion_input(current));
}

net::awaitable<bool> promotion_controller::can_replace_leading(attempt& current)
{
    auto input = build_promotion_input(current);
    auto best = most_advanced_position(input);
    for (const auto& member : input.members) {
        if (member.run.id == input.primary && member.status) {
            input.final_position = member.status->received;
        }
    }
    if (best && replicas_suffice(input) && may_give_up_beyond(input, *best)) {
        co_return true;
    }
    if (!input.final_position) {
        co_return false;
    }
    member_id any_replica;
    bool caught_up = co_await wait_for_position(current, any_replica,
                                                *input.final_position, in_flight_time);
    co_return caught_up;
}

// An entry that knew of a replica, but not of the target yet, may have taken that
// replica's copy as a proof.
net::awaitable<bool> promotion_controller::confirm_target(attempt& current,
                                                          promotion_kind kind,
                                                          member_id target)
{
    auto arrived = co_await stop_new_members(current);
    bool is_best = kind != promotion_kind::planned &&
                   safe_target(build_promotion_input(current)) == target;
    co_return arrived == 0 || is_best;
}

// Logs the member reports from which the next primary was chosen.
void promotion_controller::log_comparison(const attempt& current)
{
    for (const auto& contact : current.contacts) {
        const auto& report = contact->report();
        const auto& status = report.status;
        log_line(
            log_event::promotion_compared,
            {{"service", current.name.str()},
             {"token", log_number(current.token.value())},
             {"member", report.run.id.str()},
             {"received", status ? status->received.str() : "unknown"},
             {"leads", status && status->is_primary ? "true" : "false"},
             {"stopped", report.is_stopped ? "true" : "false"},
             {"receives_from", status ? log_number(status->stopped_below.value()) : -1}});
    }
}

void promotion_controller::log_outstanding(const attempt& current,
                                           const promotion_input& input)
{
    std::string targets;
    for (const auto& target : input.outstanding) {
        targets += (targets.empty() ? "" : " ") + target.str();
    }
    if (!targets.empty()) {
        log_line(log_event::orders_outstanding,
                 {{"service", current.name.str()},
                  {"token", log_number(current.token.value())},
                  {"targets", targets}});
    }
}

void promotion_controller::log_not_safe(const attempt& current)
{
    log_line(log_event::promotion_not_safe,
             {{"service", current.name.str()},
              {"token", log_number(current.token.value())},
              {"members", log_number(current.contacts.size())},
              {"uncovered", log_number(count_departed(current.name))}});
}

net::awaitable<member_id> promotion_controller::prepare_target(attempt& current,
                                                               promotion_kind kind)
{
    if (kind == promotion_kind::planned) {
        auto target = co_await prepare_planned_target(current);
        co_return target;
    }
    bool steps_down = kind == promotion_kind::replace_leading;
    auto target = co_await prepare_replacement(current, steps_down);
    co_return target;
}

net::awaitable<void> promotion_controller::attempt_promotion(service_name name,
                                                             std::string reason,
                                                             bool planned,
                                                             member_id silent)
{
    attempt current{.name = name};
    current.contacts = co_await connect_members(name, silent);
    auto input = build_promotion_input(current);
    current.final_position = former_primary_position(input, primary_run(name));
    input.final_position = current.final_position;
    time_point complained_since = steady_clock::now();
    auto complaints = count_complaints(name, input.primary, complained_since);
    bool lost =
        should_replace_primary(probe_outcome::primary, complaints, count_up_entries(),
                               elapsed_since(complained_since));
    auto kind = choose_promotion_kind(input, planned, lost);
    bool can_replace = true;
    if (kind == promotion_kind::replace_leading) {
        can_replace = co_await can_replace_leading(current);
    }
    if (!can_replace) {
        log_not_safe(current);
        if (pending_of(name) == nullptr) {
            co_return;
        }
        kind = promotion_kind::reaffirm;
    }
    log_line(log_event::promotion_begun, {{"service", name.str()}, {"reason", reason}});
    command beginning = begin_promotion{.service = name, .reason = reason};
    auto begun = co_await propose(std::move(beginning));
    if (!begun) {
        co_return;
    }
    current.token = begun.value();
    log_outstanding(current, input);
    if (kind == promotion_kind::reaffirm) {
        auto acting_primary = self_reported_primary(input.members);
        static_cast<void>(co_await keep_primary(
            current, acting_primary.empty() ? input.primary : acting_primary));
        co_return;
    }
    auto target = co_await prepare_target(current, kind);
    log_comparison(current);
    if (target.empty()) {
        log_not_safe(current);
        co_await abandon(current, input.primary);
    } else if (co_await record_target(current, target) && is_leading()) {
        if (co_await confirm_target(current, kind, target)) {
            co_await order_promotion(current, target);
        } else if (co_await record_target(current, member_id())) {
            co_await abandon(current, input.primary);
        }
    }
}

// A primary that stepped down holds every commit, and without it there is none. One that
// leads while an order may take effect, but not be completed, serves with the copy of
// that order's target. Otherwise replicas stay stopped until it cannot take effect any
// more.
net::awaitable<void> promotion_controller::abandon(attempt& current, member_id primary)
{
    bool kept = false;
    bool can_serve_meanwhile =
        !outstanding_targets(current).empty() && is_answering(current, primary);
    if (current.final_position || can_serve_meanwhile) {
        kept = co_await keep_primary(current, primary);
    }
    if (!kept && outstanding_targets(current).empty()) {
        static_cast<void>(co_await resume_receiving(current));
    }
}

} // namespace papayabridge

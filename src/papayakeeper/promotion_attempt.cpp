// One attempt to give a service another primary, from the token to the new primary.

#include "promotion_duty.hpp"

#include "elapsed.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>
#include <papayabridge/metrics.hpp>

namespace papayabridge {

namespace {

// A member that is alive answers within this time across regions, slots busy or not.
constexpr std::chrono::milliseconds reach_timeout{500};
constexpr std::chrono::milliseconds propose_timeout{1500};
// An accepted promotion takes effect within this time; then members are asked again.
constexpr std::chrono::milliseconds takeover_limit{3500};
constexpr std::chrono::milliseconds takeover_poll{40};
// The target is asked itself only after its announcement should have come.
constexpr std::chrono::milliseconds takeover_question{300};
constexpr std::chrono::milliseconds throttle_pause{100};
// A planned change waits for the target to reach the others for so long.
constexpr std::chrono::milliseconds catch_up_limit{400};
constexpr std::chrono::milliseconds catch_up_poll{15};

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

net::awaitable<void> promotion_controller::on_each(contacts& all, contact_step step)
{
    std::size_t open = all.size();
    net::steady_timer done(executor_);
    done.expires_at(time_point::max());
    for (auto& one : all) {
        auto finished = [&open, &done](const std::exception_ptr&) {
            if (--open == 0) {
                done.cancel();
            }
        };
        net::co_spawn(executor_, step(*one), finished);
    }
    while (open > 0) {
        co_await done.async_wait(net::as_tuple(net::use_awaitable));
    }
}

net::awaitable<promotion_controller::contacts>
promotion_controller::reach_members(service_name name, member_id without)
{
    contacts all;
    for (const auto* member : replicated_.applied().state().pool().members_of(name)) {
        all.push_back(std::make_unique<member_contact>(executor_, codec_, *member));
    }
    auto deadline = steady_clock::now() + reach_timeout;
    contact_step reach = [=](member_contact& one) -> net::awaitable<void> {
        if (one.report().run.id != without) {
            co_await one.connect(deadline);
        }
    };
    co_await on_each(all, std::move(reach));
    co_return all;
}

net::awaitable<void>
promotion_controller::stop_receiving(contacts& all, member_id primary, member_id target)
{
    std::vector<member_report> reports;
    for (const auto& one : all) {
        reports.push_back(one->report());
    }
    auto above = highest_known_term(reports).next();
    auto deadline = steady_clock::now() + reach_timeout;
    contact_step stop = [=](member_contact& one) -> net::awaitable<void> {
        const auto& id = one.report().run.id;
        if (id != primary && id != target) {
            co_await one.stop_receiving(above, deadline);
        }
    };
    co_await on_each(all, std::move(stop));
}

net::awaitable<void> promotion_controller::resume_receiving(contacts& all)
{
    auto deadline = steady_clock::now() + reach_timeout;
    contact_step resume = [deadline](member_contact& one) -> net::awaitable<void> {
        bool stopped =
            one.report().status && one.report().status->stopped_below.value() != 0;
        if (stopped) {
            co_await one.resume_receiving(deadline);
        }
    };
    co_await on_each(all, std::move(resume));
}

promotion_input promotion_controller::question_of(const service_name& name,
                                                  const contacts& all)
{
    promotion_input question{.primary = primary_of(name), .copies = copies_of(name)};
    for (const auto& one : all) {
        question.members.push_back(one->report());
    }
    question.lost_holders = static_cast<unsigned>(departures_[name].uncovered.size());
    return question;
}

// An earlier order may still be carried out. The same order for the present primary, with
// a higher token, changes nothing but that.
net::awaitable<bool> promotion_controller::keep_leading(service_name name,
                                                        member_id primary,
                                                        control_index token,
                                                        contacts& all)
{
    auto answer = co_await port_.promote(name, primary, holder_, token);
    if (answer != promotion_answer::accepted) {
        co_return false;
    }
    co_await resume_receiving(all);
    command change =
        confirm_primary{.service = name, .fencing_token = token, .primary = primary};
    auto confirmed = co_await propose(std::move(change));
    co_return bool(confirmed);
}

// Only the target goes on receiving, so that each commit that is acknowledged from now on
// is held by it, and the service does not stop while the promotion is carried out. What
// was acknowledged before is held by the primary as it is after the others were stopped.
net::awaitable<member_id>
promotion_controller::prepare_planned(service_name name, contacts& all, member_id primary)
{
    auto target = planned_target(question_of(name, all));
    if (target.empty()) {
        co_return target;
    }
    co_await stop_receiving(all, primary, target);
    auto until = steady_clock::now() + catch_up_limit;
    std::optional<position> wanted;
    while (steady_clock::now() < until) {
        for (auto& one : all) {
            const auto& id = one->report().run.id;
            if (id == target || (id == primary && !wanted)) {
                co_await one->refresh_status(until);
            }
        }
        member_status target_status;
        for (auto& one : all) {
            const auto& report = one->report();
            if (report.run.id == primary && report.status && !wanted) {
                wanted = report.status->received;
            }
            if (report.run.id == target && report.status) {
                target_status = *report.status;
            }
        }
        if (wanted && target_status.received >= *wanted) {
            co_return target;
        }
        co_await pause(catch_up_poll);
    }
    co_return member_id();
}

// What the choice of the next primary was made from.
void promotion_controller::note_compared(const service_name& name, control_index token,
                                         const contacts& all)
{
    for (const auto& one : all) {
        const auto& report = one->report();
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

net::awaitable<void> promotion_controller::attempt(service_name name, std::string reason,
                                                   bool planned, member_id silent)
{
    log_line(log_event::promotion_begun, {{"service", name.str()}, {"reason", reason}});
    command beginning = begin_promotion{.service = name, .reason = reason};
    auto begun = co_await propose(std::move(beginning));
    if (!begun) {
        co_return;
    }
    auto token = begun.value();
    auto all = co_await reach_members(name, silent);
    auto question = question_of(name, all);
    auto leading = self_reported_primary(question.members);
    member_id target;
    if (planned && !leading.empty()) {
        target = co_await prepare_planned(name, all, leading);
    } else if (!leading.empty() && leading != question.primary) {
        // An earlier order was carried out after all.
        static_cast<void>(co_await keep_leading(name, leading, token, all));
        co_return;
    } else {
        time_point began = steady_clock::now();
        auto count = complaining(name, question.primary, began);
        auto probe = leading.empty() ? probe_outcome::no_answer : probe_outcome::primary;
        bool lost =
            should_replace_primary(probe, count, entries_up(), elapsed_since(began));
        if (!leading.empty() && !lost) {
            static_cast<void>(co_await keep_leading(name, leading, token, all));
            co_return;
        }
        member_id no_target;
        co_await stop_receiving(all, question.primary, no_target);
        target = safe_target(question_of(name, all));
    }
    note_compared(name, token, all);
    if (target.empty()) {
        log_line(log_event::promotion_not_safe,
                 {{"service", name.str()},
                  {"token", log_number(token.value())},
                  {"members", log_number(all.size())},
                  {"uncovered", log_number(departures_[name].uncovered.size())}});
        co_await resume_receiving(all);
        co_return;
    }
    command choice =
        choose_target{.service = name, .fencing_token = token, .target = target};
    auto chosen = co_await propose(std::move(choice));
    if (chosen && leads()) {
        co_await order(name, target, token);
    }
}

net::awaitable<void> promotion_controller::order(service_name name, member_id target,
                                                 control_index token)
{
    auto answer = co_await port_.promote(name, target, holder_, token);
    while (answer == promotion_answer::throttled && leads()) {
        co_await pause(throttle_pause);
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
    // What got no answer is ordered again soon, with a higher token.
    auto limit = answer == promotion_answer::accepted ? takeover_limit
                                                      : takeover_question + reach_timeout;
    while (leads() && elapsed_since(began) < limit) {
        auto* asked = elapsed_since(began) < takeover_question ? nullptr : &contact;
        if (co_await has_taken_over(name, target, token, asked)) {
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
        co_await pause(takeover_poll);
    }
}

net::awaitable<bool> promotion_controller::has_taken_over(service_name name,
                                                          member_id target,
                                                          control_index token,
                                                          member_contact* connection)
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(name);
    if (found == services.end() || !found->second.pending) {
        co_return found != services.end() && found->second.primary == target;
    }
    if (connection == nullptr) {
        co_return false;
    }
    auto deadline = steady_clock::now() + reach_timeout;
    if (connection->is_open()) {
        co_await connection->refresh_status(deadline);
    } else {
        co_await connection->connect(deadline);
    }
    const auto& status = connection->report().status;
    if (!status || !status->is_primary) {
        co_return false;
    }
    command change =
        confirm_primary{.service = name, .fencing_token = token, .primary = target};
    auto confirmed = co_await propose(std::move(change));
    co_return bool(confirmed);
}

// Once every replica holds what the primary held after the departures, nothing that was
// acknowledged depends on those that left.
net::awaitable<void> promotion_controller::check_coverage(service_name name)
{
    auto gone = departures_[name].uncovered;
    member_id nobody;
    auto all = co_await reach_members(name, nobody);
    auto question = question_of(name, all);
    const member_status* primary = nullptr;
    for (const auto& member : question.members) {
        bool leads = member.status && member.status->is_primary;
        primary = leads && member.run.id == question.primary ? &*member.status : primary;
    }
    if (primary != nullptr) {
        auto until = steady_clock::now() + reach_timeout;
        contact_step refresh = [until](member_contact& one) -> net::awaitable<void> {
            co_await one.refresh_status(until);
        };
        co_await on_each(all, std::move(refresh));
        auto holds = [&](const auto& one) {
            const auto& report = one->report();
            return report.run.id == question.primary ||
                   (report.status && report.status->received >= primary->received);
        };
        if (std::all_of(all.begin(), all.end(), holds)) {
            for (const auto& run : gone) {
                departures_[name].uncovered.erase(run);
            }
        }
    }
    busy_.erase(name);
}

} // namespace papayabridge

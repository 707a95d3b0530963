// What an attempt orders, and what it waits for until the order has taken effect. An
// order is carried out when it arrives, perhaps seconds later and without an answer, and
// takes effect up to `order_effect_time` after that. So the answer to a later order does
// not show that an earlier one is void.

#include "promotion_controller.hpp"

#include "elapsed.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>
#include <papayabridge/metrics.hpp>

namespace papayabridge {

namespace {

// An order that was carried out takes effect within this time.
constexpr std::chrono::milliseconds order_effect_time{3500};
constexpr std::chrono::milliseconds takeover_poll_interval{40};
// The target is queried only if its announcement has not arrived after this time.
constexpr std::chrono::milliseconds takeover_query_delay{300};
constexpr std::chrono::milliseconds throttle_retry_interval{100};
// How often the members are asked who leads while earlier orders may take effect.
constexpr std::chrono::milliseconds outlast_poll_interval{200};
// Shorter than the shortest election timeout: voters that accepted a proposal elect no
// other leader for this long after it was made.
constexpr std::chrono::milliseconds lead_validity{300};
// A replica that could not be told to receive again in one round may have been busy.
constexpr unsigned resume_rounds = 3;
// Polls without an answer after which a primary counts as lost.
constexpr unsigned max_missed_polls = 3;

} // namespace

net::awaitable<bool> promotion_controller::prove_lead()
{
    if (is_leading() && elapsed_since(lead_proved_at_) < lead_validity / 2) {
        co_return true;
    }
    command barrier = read_barrier{};
    auto accepted = co_await propose(std::move(barrier));
    co_return bool(accepted) && elapsed_since(lead_proved_at_) < lead_validity;
}

// A resume that reached a replica after another leader had stopped it would let it
// receive during that leader's attempt. So each round is short and proves the lead first.
net::awaitable<bool> promotion_controller::resume_receiving(attempt& current)
{
    std::string resumed;
    for (unsigned round = 0; round < resume_rounds; ++round) {
        if (!co_await prove_lead()) {
            co_return false;
        }
        auto deadline = lead_proved_at_ + lead_validity;
        std::vector<std::string> stopped;
        contact_action resume =
            [&, deadline](member_contact& contact) -> net::awaitable<void> {
            const auto& status = contact.report().status;
            bool is_stopped = status && status->stopped_below.value() != 0;
            if (is_stopped || (!status && contact.is_open())) {
                stopped.push_back(contact.report().run.id.str());
                co_await contact.resume_receiving(deadline);
            }
        };
        co_await run_on_each(current.contacts, std::move(resume));
        if (stopped.empty()) {
            break;
        }
        for (const auto& id : stopped) {
            resumed += (resumed.empty() ? "" : " ") + id;
        }
    }
    if (!resumed.empty()) {
        log_line(log_event::replicas_resumed,
                 {{"service", current.name.str()},
                  {"token", log_number(current.token.value())},
                  {"replicas", resumed}});
    }
    co_return true;
}

net::awaitable<bool> promotion_controller::resume_member(attempt& current,
                                                         member_id member)
{
    for (auto& contact : current.contacts) {
        const auto& report = contact->report();
        bool stopped = report.run.id == member && report.status &&
                       report.status->stopped_below.value() != 0;
        if (!stopped) {
            continue;
        }
        if (!co_await prove_lead()) {
            co_return false;
        }
        co_await contact->resume_receiving(lead_proved_at_ + lead_validity);
        log_line(log_event::replicas_resumed,
                 {{"service", current.name.str()},
                  {"token", log_number(current.token.value())},
                  {"replicas", member.str()}});
    }
    co_return true;
}

net::awaitable<bool> promotion_controller::record_target(const attempt& current,
                                                         member_id target)
{
    command choice = choose_target{.service = current.name,
                                   .fencing_token = current.token,
                                   .target = std::move(target)};
    auto chosen = co_await propose(std::move(choice));
    co_return bool(chosen);
}

// A refused order was not carried out and never will be, so it is withdrawn.
net::awaitable<promotion_answer> promotion_controller::send_order(const attempt& current,
                                                                  member_id target)
{
    auto answer = co_await port_.promote(current.name, target, holder_, current.token);
    while (answer == promotion_answer::throttled && is_leading()) {
        co_await sleep_for(throttle_retry_interval);
        answer = co_await port_.promote(current.name, target, holder_, current.token);
    }
    if (answer == promotion_answer::refused) {
        static_cast<void>(co_await record_target(current, member_id()));
    }
    co_return answer;
}

// Ordering the present primary again, with a higher token, makes earlier orders void that
// were not carried out yet. It changes nothing else unless an earlier order was, or the
// primary has stepped down; then it is itself an order that takes effect.
net::awaitable<bool> promotion_controller::keep_primary(attempt& current,
                                                        member_id primary)
{
    current.acting_primary = primary;
    auto rivals = rival_targets(build_promotion_input(current), primary);
    bool may_take_effect = !rivals.empty() || current.final_position ||
                           !outstanding_targets(current).empty();
    if (may_take_effect && !co_await record_target(current, primary)) {
        co_return false;
    }
    auto answer = co_await send_order(current, primary);
    if (answer != promotion_answer::accepted) {
        co_return false;
    }
    if (may_take_effect && !co_await outlast_orders(current, primary, std::move(rivals)))
    {
        co_return false;
    }
    if (!co_await resume_receiving(current)) {
        co_return false;
    }
    command change = confirm_primary{
        .service = current.name, .fencing_token = current.token, .primary = primary};
    auto confirmed = co_await propose(std::move(change));
    if (confirmed) {
        log_line(log_event::primary_kept, {{"service", current.name.str()},
                                           {"token", log_number(current.token.value())},
                                           {"member", primary.str()}});
    }
    co_return bool(confirmed);
}

bool promotion_controller::is_answering(const attempt& current, const member_id& member)
{
    return std::any_of(
        current.contacts.begin(), current.contacts.end(), [&](const auto& contact) {
            return contact->report().run.id == member && contact->report().status;
        });
}

// Meanwhile only a replica whose promotion may take effect receives, if it is the only
// one: it then holds every commit that is acknowledged.
net::awaitable<bool> promotion_controller::outlast_orders(attempt& current,
                                                          member_id primary,
                                                          std::vector<member_id> rivals)
{
    auto began = steady_clock::now();
    unsigned missed_polls = 0;
    if (!rivals.empty()) {
        current.receiving = rivals.size() == 1 ? rivals.front() : member_id();
        co_await stop_receiving(current);
        if (!co_await resume_member(current, current.receiving)) {
            co_return false;
        }
    }
    while (is_leading()) {
        auto deadline = steady_clock::now() + member_reach_timeout;
        contact_action refresh =
            [deadline](member_contact& contact) -> net::awaitable<void> {
            if (contact.is_open()) {
                co_await contact.refresh_status(deadline);
            } else {
                co_await contact.connect(deadline);
            }
        };
        co_await run_on_each(current.contacts, std::move(refresh));
        missed_polls = is_answering(current, primary) ? 0 : missed_polls + 1;
        auto leader = self_reported_primary(build_promotion_input(current).members);
        bool is_over = elapsed_since(began) >= order_effect_time;
        if (leader == primary && (rivals.empty() || is_over)) {
            co_return true;
        }
        bool is_replaced = !leader.empty() && leader != primary;
        if (is_over || is_replaced || missed_polls >= max_missed_polls) {
            co_return false;
        }
        if (!rivals.empty()) {
            co_await stop_new_members(current);
        }
        co_await sleep_for(outlast_poll_interval);
    }
    co_return false;
}

net::awaitable<void> promotion_controller::order_promotion(attempt& current,
                                                           member_id target)
{
    const auto& name = current.name;
    auto answer = co_await send_order(current, target);
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
                     ? order_effect_time + member_reach_timeout
                     : takeover_query_delay + member_reach_timeout;
    // If its lead does not show that its last order has taken effect, time has to.
    auto query_delay =
        settles_orders(name, target) ? takeover_query_delay : order_effect_time;
    while (is_leading() && elapsed_since(began) < limit) {
        auto* due_contact = elapsed_since(began) < query_delay ? nullptr : &contact;
        if (co_await has_taken_over(current, target, due_contact)) {
            metrics::process()
                .latency_of("papaya_promotion_seconds", {{"service", name.str()}})
                .record(steady_clock::now() - began);
            log_line(log_event::primary_changed,
                     {{"service", name.str()},
                      {"member", target.str()},
                      {"token", log_number(current.token.value())},
                      {"took_us", log_us(elapsed_since(began))}});
            co_return;
        }
        co_await stop_new_members(current);
        co_await sleep_for(takeover_poll_interval);
    }
}

bool promotion_controller::settles_orders(const service_name& name,
                                          const member_id& leader) const
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(name);
    return found != services.end() && papayabridge::settles_orders(found->second, leader);
}

net::awaitable<bool> promotion_controller::has_taken_over(const attempt& current,
                                                          member_id target,
                                                          member_contact* contact)
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(current.name);
    if (found == services.end() || !found->second.pending) {
        co_return found != services.end() && found->second.primary == target;
    }
    if (contact == nullptr) {
        co_return false;
    }
    auto deadline = steady_clock::now() + member_reach_timeout;
    if (contact->is_open()) {
        co_await contact->refresh_status(deadline);
    } else {
        co_await contact->connect(deadline);
    }
    const auto& status = contact->report().status;
    if (!status || !status->is_primary) {
        co_return false;
    }
    command change = confirm_primary{
        .service = current.name, .fencing_token = current.token, .primary = target};
    auto confirmed = co_await propose(std::move(change));
    co_return bool(confirmed);
}

} // namespace papayabridge

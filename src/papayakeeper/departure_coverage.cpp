// Whether commits still depend on replicas that have ended.

#include "promotion_controller.hpp"

#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

// A member whose withdrawal was not confirmed to it runs on for some seconds, receives,
// and counts for acknowledgements.
net::awaitable<std::vector<member_run>>
promotion_controller::find_ended_runs(service_name name)
{
    contact_list contacts;
    for (const auto& [run, departure] : replicated_.applied().state().pool().departed()) {
        if (departure.service == name) {
            pooled_member gone{
                .run = run, .service = name, .endpoint = departure.endpoint};
            contacts.push_back(std::make_unique<member_contact>(executor_, codec_, gone));
        }
    }
    auto deadline = steady_clock::now() + member_reach_timeout;
    contact_action connect = [deadline](member_contact& contact) -> net::awaitable<void> {
        co_await contact.connect(deadline);
    };
    co_await run_on_each(contacts, std::move(connect));
    // Another member listens at its address.
    auto is_replaced = [&](const member_run& run) {
        const auto& pool = replicated_.applied().state().pool();
        auto found = pool.departed().find(run);
        return found != pool.departed().end() &&
               std::any_of(pool.members().begin(), pool.members().end(),
                           [&](const auto& known) {
                               return known.second.endpoint == found->second.endpoint &&
                                      known.second.run != run;
                           });
    };
    auto now = steady_clock::now();
    std::vector<member_run> ended;
    for (const auto& contact : contacts) {
        const auto& report = contact->report();
        auto seen_at = departures_[name].seen_at.emplace(report.run, now).first->second;
        departure_evidence seen{
            .is_answering = contact->is_open(),
            .is_refusing = report.is_stopped,
            .is_replaced = is_replaced(report.run),
            .since_departure =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - seen_at)};
        if (has_ended(seen)) {
            ended.push_back(report.run);
        }
    }
    co_return ended;
}

// Once enough replicas have reached a position that the primary had after the departures,
// no acknowledged commit depends on the departed members.
net::awaitable<void> promotion_controller::check_coverage(service_name name)
{
    auto ended = co_await find_ended_runs(name);
    if (!ended.empty() && is_leading()) {
        member_id none_excluded;
        attempt current{.name = name};
        current.contacts = co_await connect_members(name, none_excluded);
        auto first = build_promotion_input(current);
        contact_action refresh = [&](member_contact& contact) -> net::awaitable<void> {
            if (contact.report().run.id != first.primary) {
                co_await contact.refresh_status(steady_clock::now() +
                                                member_reach_timeout);
            }
        };
        co_await run_on_each(current.contacts, std::move(refresh));
        if (covers_departures(build_promotion_input(current))) {
            for (const auto& run : ended) {
                command change = remove_member{.run = run, .is_covered = true};
                static_cast<void>(co_await propose(std::move(change)));
            }
        }
    }
    in_progress_.erase(name);
}

} // namespace papayabridge

#include "promotion_duty.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>

namespace papayabridge {

namespace {

// How often the leader looks whether a service needs a primary.
constexpr std::chrono::milliseconds look_pause{25};
// A member that is alive answers within this time across regions, slots busy or not.
constexpr std::chrono::milliseconds reach_timeout{500};
// An answer from another region takes a tenth of it.
constexpr std::chrono::milliseconds probe_timeout{300};
// Between two attempts at the same service.
constexpr std::chrono::milliseconds attempt_rest{150};
constexpr std::chrono::milliseconds propose_timeout{1500};
// A complaint that is not repeated for so long is over; entries repeat it five times a
// second.
constexpr std::chrono::milliseconds complaint_validity{700};
// An accepted promotion takes effect within this time; then members are asked again.
constexpr std::chrono::milliseconds takeover_limit{3500};
constexpr std::chrono::milliseconds takeover_poll{40};
// The target is asked itself only after its announcement should have come.
constexpr std::chrono::milliseconds takeover_question{300};
constexpr std::chrono::milliseconds throttle_pause{100};
// How often it is checked whether the remaining replicas hold everything.
constexpr std::chrono::milliseconds coverage_pause{400};
// A planned change waits for the target to reach the others for so long.
constexpr std::chrono::milliseconds catch_up_limit{400};
constexpr std::chrono::milliseconds catch_up_poll{15};

std::string text_of(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::chrono::milliseconds since(time_point then)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() -
                                                                 then);
}

} // namespace

promotion_duty::promotion_duty(net::any_io_executor executor, replicator& replicated,
                               const member_codec& codec, promotion_port& port,
                               configuration_decoder decoder, std::string holder)
    : executor_(std::move(executor)), replicated_(replicated), codec_(codec), port_(port),
      decoder_(std::move(decoder)), holder_(std::move(holder))
{
}

void promotion_duty::start()
{
    net::co_spawn(executor_, run(), net::detached);
}

net::awaitable<void> promotion_duty::pause(std::chrono::milliseconds time)
{
    net::steady_timer timer(executor_);
    timer.expires_after(time);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

bool promotion_duty::leads() const
{
    return !stopping_ && replicated_.duties().is_leading();
}

std::size_t promotion_duty::entries_up() const
{
    const auto& entries = replicated_.applied().state().entries();
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [](const auto& one) {
            return one.second.condition == entry_condition::up;
        }));
}

unsigned promotion_duty::copies_of(const service_name& name)
{
    const auto& published = replicated_.applied().state().pool().configuration();
    if (published.version != configuration_.version) {
        auto decoded = decoder_(published.text);
        if (decoded) {
            configuration_ = std::move(decoded.value());
        } else {
            log_change("configuration_unreadable", {{"why", decoded.error().detail}});
        }
    }
    auto found = configuration_.services.find(name);
    // Without a configuration the stricter assumption is safe.
    return found == configuration_.services.end() ? 1 : found->second.synchronous_copies;
}

member_id promotion_duty::primary_of(const service_name& name) const
{
    const auto& services = replicated_.applied().state().pool().services();
    auto found = services.find(name);
    return found == services.end() ? member_id() : found->second.primary;
}

void promotion_duty::hear(const member_trouble& trouble)
{
    auto now = steady_clock::now();
    auto& known = complaints_[trouble.service][trouble.entry];
    known = {.member = trouble.member, .heard = now, .since = now - trouble.lasting};
}

std::size_t promotion_duty::complaining(const service_name& name, const member_id& member,
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

net::awaitable<void> promotion_duty::run()
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
void promotion_duty::note_departures(const service_name& name)
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

std::string promotion_duty::reason_to_act(const service_name& name,
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

void promotion_duty::look_at(const service_name& name, const pooled_service& service)
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

net::awaitable<void> promotion_duty::act(service_name name, std::string reason)
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
net::awaitable<bool>
promotion_duty::is_confirmed_lost(service_name name, member_id primary, member_id& silent)
{
    const auto* member = replicated_.applied().state().pool().member(primary);
    if (member == nullptr) {
        co_return true;
    }
    member_contact contact(executor_, codec_, *member);
    co_await contact.reach(steady_clock::now() + probe_timeout);
    const auto& report = contact.report();
    if (!report.status && !contact.is_open()) {
        silent = primary;
    }
    auto probe = probe_outcome::silent;
    if (report.status) {
        probe = report.status->is_primary ? probe_outcome::leads : probe_outcome::answers;
    } else if (report.is_stopped) {
        probe = probe_outcome::stopped;
    } else if (contact.is_open()) {
        // It opened a session, but had no slot free to tell its status.
        probe = probe_outcome::leads;
    }
    time_point began = steady_clock::now();
    auto count = complaining(name, primary, began);
    bool lost = is_primary_lost(probe, count, entries_up(), since(began));
    log_change("primary_probed", {{"service", name.str()},
                                  {"member", primary.str()},
                                  {"probe", std::to_string(static_cast<int>(probe))},
                                  {"complaining", std::to_string(count)},
                                  {"entries", std::to_string(entries_up())},
                                  {"lasting", text_of(since(began))},
                                  {"lost", lost ? "true" : "false"}});
    co_return lost;
}

net::awaitable<result<control_index>> promotion_duty::propose(command change)
{
    auto accepted = co_await replicated_.propose(
        std::move(change), steady_clock::now() + propose_timeout, true);
    if (!accepted) {
        log_change("promotion_step_not_accepted", {{"why", accepted.error().str()}});
        co_return accepted.error();
    }
    co_return accepted.value().index;
}

net::awaitable<void> promotion_duty::on_each(contacts& all, contact_step step)
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

net::awaitable<promotion_duty::contacts> promotion_duty::reach_members(service_name name,
                                                                       member_id without)
{
    contacts all;
    for (const auto* member : replicated_.applied().state().pool().members_of(name)) {
        all.push_back(std::make_unique<member_contact>(executor_, codec_, *member));
    }
    auto deadline = steady_clock::now() + reach_timeout;
    contact_step reach = [=](member_contact& one) -> net::awaitable<void> {
        if (one.report().run.id != without) {
            co_await one.reach(deadline);
        }
    };
    co_await on_each(all, std::move(reach));
    co_return all;
}

net::awaitable<void> promotion_duty::stop_receiving(contacts& all, member_id primary,
                                                    member_id target)
{
    std::vector<member_report> reports;
    for (const auto& one : all) {
        reports.push_back(one->report());
    }
    auto above = newest_term(reports).next();
    auto deadline = steady_clock::now() + reach_timeout;
    contact_step stop = [=](member_contact& one) -> net::awaitable<void> {
        const auto& id = one.report().run.id;
        if (id != primary && id != target) {
            co_await one.stop_receiving(above, deadline);
        }
    };
    co_await on_each(all, std::move(stop));
}

net::awaitable<void> promotion_duty::resume_receiving(contacts& all)
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

promotion_question promotion_duty::question_of(const service_name& name,
                                               const contacts& all)
{
    promotion_question question{.primary = primary_of(name), .copies = copies_of(name)};
    for (const auto& one : all) {
        question.members.push_back(one->report());
    }
    question.lost_holders = static_cast<unsigned>(departures_[name].uncovered.size());
    return question;
}

// An earlier order may still be carried out. The same order for the present primary, with
// a higher token, changes nothing but that.
net::awaitable<bool> promotion_duty::keep_leading(service_name name, member_id primary,
                                                  control_index token, contacts& all)
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
promotion_duty::prepare_planned(service_name name, contacts& all, member_id primary)
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
                co_await one->refresh(until);
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

net::awaitable<void> promotion_duty::attempt(service_name name, std::string reason,
                                             bool planned, member_id silent)
{
    log_change("promotion_begun", {{"service", name.str()}, {"reason", reason}});
    command beginning = begin_promotion{.service = name, .reason = reason};
    auto begun = co_await propose(std::move(beginning));
    if (!begun) {
        co_return;
    }
    auto token = begun.value();
    auto all = co_await reach_members(name, silent);
    auto question = question_of(name, all);
    auto leading = leading_member(question.members);
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
        auto probe = leading.empty() ? probe_outcome::silent : probe_outcome::leads;
        bool lost = is_primary_lost(probe, count, entries_up(), since(began));
        if (!leading.empty() && !lost) {
            static_cast<void>(co_await keep_leading(name, leading, token, all));
            co_return;
        }
        member_id no_target;
        co_await stop_receiving(all, question.primary, no_target);
        target = safe_target(question_of(name, all));
    }
    if (target.empty()) {
        log_change("promotion_not_safe",
                   {{"service", name.str()},
                    {"fencing_token", std::to_string(token.value())},
                    {"members", std::to_string(all.size())},
                    {"uncovered", std::to_string(departures_[name].uncovered.size())}});
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

net::awaitable<void> promotion_duty::order(service_name name, member_id target,
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
    while (leads() && since(began) < limit) {
        auto* asked = since(began) < takeover_question ? nullptr : &contact;
        if (co_await has_taken_over(name, target, token, asked)) {
            departures_[name].uncovered.clear();
            log_change("primary_changed",
                       {{"service", name.str()},
                        {"member", target.str()},
                        {"fencing_token", std::to_string(token.value())},
                        {"took", text_of(since(began))}});
            co_return;
        }
        co_await pause(takeover_poll);
    }
}

net::awaitable<bool> promotion_duty::has_taken_over(service_name name, member_id target,
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
        co_await connection->refresh(deadline);
    } else {
        co_await connection->reach(deadline);
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
net::awaitable<void> promotion_duty::check_coverage(service_name name)
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
            co_await one.refresh(until);
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

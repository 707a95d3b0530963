#include "gated_access.hpp"

#include "session/members/member_pool.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// The gates of a member and its standbys that one statement tries.
constexpr std::size_t max_choices = 4;
// How long a member whose gate refused as busy is tried last. About its queue's length.
constexpr std::chrono::milliseconds busy_time{20};
// Pause before the members are tried again after all refused at once.
constexpr std::chrono::milliseconds retry_pause{10};
// How long the gates must have failed to reach a member before an entry tries it by
// itself. Longer than a gate avoids a member after one failure.
constexpr std::chrono::milliseconds direct_after{300};

// Says nothing of the member: the gate may have just started.
bool does_not_know_member(const member_outcome& outcome)
{
    return outcome.stage == run_stage::waiting && !outcome.answer &&
           outcome.answer.error().kind == error_kind::not_found;
}

// Whether the gate took the statement but cannot use the member.
bool cannot_reach_member(const member_outcome& outcome)
{
    return outcome.stage == run_stage::waiting && !outcome.answer &&
           outcome.answer.error().kind == error_kind::unreachable;
}

} // namespace

struct gated_access::member_gates
{
    domain_name domain;
    std::vector<entry_id> ordered;
};

gated_access::gated_access(gated_access_options options)
    : options_(std::move(options)), view_(std::make_shared<pool_view>())
{
}

gated_access::~gated_access() = default;

void gated_access::update(std::shared_ptr<const pool_view> view)
{
    // The order depends on the entries; a change of members affects only those members.
    if (view->gate_entries != view_->gate_entries) {
        gates_.clear();
        std::erase_if(links_, [&](const auto& known) {
            auto found = view->gate_entries.find(known.first);
            return found == view->gate_entries.end() ||
                   found->second.endpoint != known.second->endpoint();
        });
    }
    view_ = std::move(view);
    auto now = steady_clock::now();
    std::erase_if(busy_until_, [&](const auto& row) { return row.second < now; });
    std::erase_if(unreachable_,
                  [&](const auto& row) { return now - row.second.last > direct_after; });
}

std::vector<entry_id> gated_access::gates_for(const viewed_member& member,
                                              const account_name& account)
{
    auto& known = gates_[member.run.id];
    bool is_current = !known.ordered.empty() && known.domain == member.domain;
    if (!is_current) {
        std::vector<gate_candidate> candidates;
        for (const auto& [id, entry] : view_->gate_entries) {
            candidates.push_back({.entry = id,
                                  .domain = entry.domain,
                                  .distance = view_->location.distance_between(
                                      entry.domain, member.domain)});
        }
        known = {.domain = member.domain,
                 .ordered = order_gates(member.run.id, std::move(candidates))};
    }
    if (!account.empty()) {
        return choose_account_gates(account, member.run.id, known.ordered, member.gates,
                                    max_choices);
    }
    return choose_gates(options_.self, member.run.id, known.ordered, member.gates,
                        max_choices);
}

gate_link* gated_access::link_to(const entry_id& gate)
{
    auto& link = links_[gate];
    if (!link) {
        auto found = view_->gate_entries.find(gate);
        if (found == view_->gate_entries.end()) {
            links_.erase(gate);
            return nullptr;
        }
        link = std::make_unique<gate_link>(options_.executor, gate,
                                           found->second.endpoint, options_.fleet_key);
    }
    return link.get();
}

net::awaitable<member_outcome> gated_access::run(member_request request)
{
    const auto* service = view_->service(request.service);
    bool is_direct = service == nullptr || !service->through_gates;
    if (is_direct) {
        auto outcome = co_await options_.local.run(std::move(request));
        co_return outcome;
    }
    auto started = steady_clock::now();
    auto wait_until = request.wait_until;
    auto outcome = co_await run_through_gates(std::move(request));
    bool refused_at_once = outcome.stage == run_stage::waiting &&
                           !outcome.is_unservable &&
                           steady_clock::now() - started < retry_pause;
    if (refused_at_once) {
        net::steady_timer timer(options_.executor);
        timer.expires_at(std::min(steady_clock::now() + retry_pause, wait_until));
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    }
    co_return outcome;
}

// Tries each usable member once without waiting there, and then waits at the first. A
// statement with one usable member waits at once.
net::awaitable<member_outcome> gated_access::run_through_gates(member_request request)
{
    auto last = failed_outcome(run_stage::waiting,
                               fail(error_kind::unreachable, "no member can be used"));
    std::vector<member_id> usable;
    auto now = steady_clock::now();
    for (const auto& member : request.members) {
        auto obstacle = options_.pool.find_obstacle(member, request.needs_primary);
        if (obstacle) {
            last.answer = std::move(*obstacle);
        } else {
            usable.push_back(member);
        }
    }
    request.refuse_if_busy = usable.size() > 1;
    for (const auto& member : usable) {
        auto busy = busy_until_.find(member);
        if (request.refuse_if_busy && busy != busy_until_.end() && now < busy->second) {
            continue;
        }
        last = co_await run_at(request, member);
        bool may_go_on = last.stage == run_stage::waiting && !last.answer;
        if (!may_go_on) {
            co_return last;
        }
        if (last.answer.error().kind == error_kind::overloaded) {
            busy_until_[member] = steady_clock::now() + busy_time;
        }
    }
    if (request.refuse_if_busy && steady_clock::now() < request.wait_until) {
        request.refuse_if_busy = false;
        last = co_await run_at(request, usable.front());
    }
    co_return last;
}

// Runs the request through the first gate of \p member that takes it, and through this
// entry if none can be reached.
net::awaitable<member_outcome> gated_access::run_at(const member_request& request,
                                                    const member_id& member)
{
    auto narrowed = request;
    narrowed.members = {member};
    const auto* service = view_->service(request.service);
    const auto* viewed = service != nullptr ? service->member(member) : nullptr;
    auto gates =
        viewed != nullptr ? gates_for(*viewed, request.account) : std::vector<entry_id>();
    std::optional<member_outcome> refused;
    bool is_unknown = false;
    for (const auto& gate : gates) {
        if (gate == options_.self) {
            refused.reset();
            is_unknown = false;
            break;
        }
        auto* link = link_to(gate);
        if (link == nullptr || link->is_avoided()) {
            continue;
        }
        auto reply = co_await link->run(narrowed);
        if (reply.gate_failed) {
            continue;
        }
        if (does_not_know_member(reply.outcome)) {
            is_unknown = true;
            continue;
        }
        if (!cannot_reach_member(reply.outcome)) {
            record_use(member, request, reply.outcome);
            co_return std::move(reply.outcome);
        }
        refused = std::move(reply.outcome);
    }
    if (refused) {
        // The gate's evidence counts for all its callers: the keepers replace a primary
        // that many entries cannot use.
        options_.pool.record_failure(member, request.work.writes);
        if (!is_long_unreachable(member)) {
            co_return std::move(*refused);
        }
    }
    member_outcome outcome;
    if (!is_unknown) {
        outcome = co_await options_.gate.run(std::move(narrowed));
        is_unknown = does_not_know_member(outcome);
    }
    if (is_unknown) {
        // The gates have just started, or know that the member has left. Callers take
        // `not_found` for a missing database.
        outcome = failed_outcome(
            run_stage::waiting,
            fail(error_kind::unreachable, member.str() + " is not known at its gates"));
    }
    co_return outcome;
}

// Keeps this entry's record of the member's health, which decides whether it complains to
// the keepers.
void gated_access::record_use(const member_id& member, const member_request& request,
                              const member_outcome& outcome)
{
    if (outcome.stage == run_stage::waiting) {
        return;
    }
    unreachable_.erase(member);
    if (outcome.answer) {
        options_.pool.record_success(member, request.work.writes);
    }
}

// Whether the gates of the member have not reached it for so long that this entry tries
// it over a connection of its own. The entries then know by themselves whether they can
// use it, which the keepers ask before they replace a primary.
bool gated_access::is_long_unreachable(const member_id& member)
{
    auto now = steady_clock::now();
    auto& series = unreachable_[member];
    if (now - series.last > direct_after) {
        series.first = now;
    }
    series.last = now;
    return now - series.first > direct_after;
}

} // namespace papayabridge

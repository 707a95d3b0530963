#include "statement_gate.hpp"

#include "session/members/member_pool.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

namespace {

// Waiting statements of one rank per member. Longer queues would only hold statements
// whose callers give up before they run.
constexpr std::size_t queue_limit = 400;
// Shares of the slots that a rank keeps under any load of the others, in percent.
constexpr std::array<unsigned, rank_count> guaranteed_shares{50, 30, 10};
// A sender that can use another member prefers it to a longer expected wait than this,
// which is about the round trip to another region.
constexpr std::chrono::milliseconds acceptable_wait{15};

rank rank_of(unsigned number)
{
    return static_cast<rank>(std::min<std::size_t>(number, rank_count - 1));
}

admission_options options_for(unsigned slots)
{
    admission_options options;
    options.slots = slots;
    for (auto each : all_ranks) {
        options.ranks[each] = {.share_percent =
                                   guaranteed_shares[static_cast<std::size_t>(each)],
                               .queue_limit = queue_limit};
    }
    return options;
}

} // namespace

// A statement that waits for a slot. Its timer is cancelled when it may start.
struct statement_gate::waiter
{
    explicit waiter(const net::any_io_executor& executor, time_point until)
        : timer(executor, until)
    {
    }

    net::steady_timer timer;
    bool started = false;
};

struct statement_gate::member_queue
{
    explicit member_queue(unsigned slots) : admitted(options_for(slots)) {}

    admission admitted;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
};

// A slot of the member. The destructor frees it, also if the statement ends with an
// exception.
class statement_gate::held_slot
{
public:
    held_slot(member_queue& queue, std::uint64_t ticket) : queue_(queue), ticket_(ticket)
    {
    }
    ~held_slot()
    {
        queue_.admitted.finish(ticket_, steady_clock::now());
        start_admitted(queue_);
    }
    held_slot(const held_slot&) = delete;
    held_slot& operator=(const held_slot&) = delete;

private:
    member_queue& queue_;
    std::uint64_t ticket_;
};

void statement_gate::update(std::shared_ptr<const pool_view> view)
{
    view_ = std::move(view);
    std::map<member_id, std::shared_ptr<member_queue>> kept;
    for (const auto& [name, service] : view_->services) {
        for (const auto& member : service.members) {
            auto found = queues_.find(member.run.id);
            if (found != queues_.end()) {
                found->second->admitted.configure(options_for(member.gate.slots));
                start_admitted(*found->second);
                kept.insert(*found);
            }
        }
    }
    // Statements of a removed member keep its queue alive and end at their deadlines.
    queues_ = std::move(kept);
}

std::optional<error> statement_gate::find_obstacle(const member_request& request) const
{
    const auto& member = request.members.front();
    const auto* service = view_->service(request.service);
    if (service == nullptr || service->member(member) == nullptr) {
        return fail(error_kind::not_found, member.str() + " is not known at its gate");
    }
    const auto& health = pool_.health(member);
    if (health.leaving.is_over(steady_clock::now(), view_->leaving_limit)) {
        return fail(error_kind::unreachable, member.str() + " is leaving");
    }
    return pool_.find_obstacle(member, request.needs_primary);
}

statement_gate::member_queue& statement_gate::queue_of(const member_id& member)
{
    auto& queue = queues_[member];
    if (!queue) {
        unsigned slots = 1;
        for (const auto& [name, service] : view_->services) {
            const auto* found = service.member(member);
            slots = found != nullptr ? found->gate.slots : slots;
        }
        queue = std::make_shared<member_queue>(slots);
    }
    return *queue;
}

void statement_gate::start_admitted(member_queue& queue)
{
    for (auto ticket : queue.admitted.start(steady_clock::now())) {
        auto found = queue.waiters.find(ticket);
        if (found != queue.waiters.end()) {
            found->second->started = true;
            found->second->timer.cancel();
        }
    }
}

net::awaitable<result<void>>
statement_gate::wait_for_slot(std::shared_ptr<member_queue> queue, std::uint64_t ticket,
                              const member_request& request)
{
    admission_item item;
    item.id = ticket;
    item.rank = rank_of(request.rank);
    item.arrived = steady_clock::now();
    item.deadline = request.wait_until;
    bool is_busy = queue->admitted.expected_wait(item.rank) > acceptable_wait;
    if (request.refuse_if_busy && is_busy) {
        co_return fail(error_kind::overloaded, "the member's gate is busy");
    }
    auto queued = queue->admitted.submit(item, item.arrived);
    if (!queued) {
        co_return queued.error();
    }
    auto self = std::make_shared<waiter>(executor_, request.wait_until);
    queue->waiters[ticket] = self;
    start_admitted(*queue);
    if (!self->started) {
        co_await self->timer.async_wait(net::as_tuple(net::use_awaitable));
    }
    queue->waiters.erase(ticket);
    if (!self->started) {
        queue->admitted.withdraw(ticket);
        co_return fail(error_kind::overloaded,
                       "no slot of the member became free in time");
    }
    co_return success();
}

net::awaitable<member_outcome> statement_gate::run(member_request request)
{
    if (auto obstacle = find_obstacle(request)) {
        co_return failed_outcome(run_stage::waiting, std::move(*obstacle));
    }
    auto member = request.members.front();
    queue_of(member);
    auto queue = queues_[member];
    auto ticket = next_ticket_++;
    auto arrived = steady_clock::now();
    auto admitted = co_await wait_for_slot(queue, ticket, request);
    auto waited = steady_clock::now() - arrived;
    if (!admitted) {
        // Another entry would send the statement to the same queue.
        bool unservable = admitted.error().kind == error_kind::deadline_unmeetable;
        auto refused = failed_outcome(
            run_stage::waiting, fail(error_kind::overloaded, admitted.error().detail));
        refused.waited = waited;
        refused.is_unservable = unservable;
        co_return refused;
    }
    held_slot slot(*queue, ticket);
    auto outcome = member_outcome();
    if (auto obstacle = find_obstacle(request)) {
        outcome = failed_outcome(run_stage::waiting, std::move(*obstacle));
    } else {
        request.members.resize(1);
        outcome = co_await local_.run(std::move(request));
    }
    outcome.waited += waited;
    co_return outcome;
}

std::size_t statement_gate::running() const
{
    std::size_t count = 0;
    for (const auto& [member, queue] : queues_) {
        count += queue->admitted.running();
    }
    return count;
}

std::size_t statement_gate::waiting() const
{
    std::size_t count = 0;
    for (const auto& [member, queue] : queues_) {
        count += queue->admitted.waiting();
    }
    return count;
}

} // namespace papayabridge

// Proposals of commands, locally or through the leader.

#include "replicator.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds leader_poll_interval{20};
constexpr std::chrono::milliseconds notify_timeout{300};
// As long as the callers of a barrier wait at most.
constexpr std::chrono::milliseconds barrier_timeout{850};

} // namespace

net::awaitable<result<proposal_outcome>>
replicator::propose(command change, time_point deadline, bool forwarded)
{
    auto text = encode_command(change);
    if (!text) {
        log_line(log_event::command_refused, {{"detail", text.error().detail}});
        co_return text.error();
    }
    bool may_be_accepted = false;
    auto failure = fail(error_kind::no_quorum, "no leader is known");
    while (steady_clock::now() < deadline) {
        if (storage_damaged_) {
            failure = *storage_failure_;
            break;
        }
        auto leader = consensus_ ? consensus_->leader(steady_clock::now()) : keeper_id();
        if (leader == settings_.id) {
            auto accepted = co_await propose_locally(text.value(), deadline);
            if (accepted) {
                co_return accepted;
            }
            failure = accepted.error();
        } else if (forwarded) {
            failure = fail(error_kind::not_leader, settings_.id.str() + " does not lead");
            break;
        } else if (!leader.empty()) {
            auto accepted = co_await forward_to(leader, change, deadline);
            if (accepted) {
                co_return accepted;
            }
            failure = accepted.error();
        } else if (storage_failure_) {
            failure = *storage_failure_;
        }
        may_be_accepted = may_be_accepted || failure.kind == error_kind::outcome_unknown;
        co_await sleep_for(leader_poll_interval);
    }
    if (may_be_accepted) {
        failure.kind = error_kind::outcome_unknown;
    }
    co_return failure;
}

// Waits for a barrier that begins after this call. Calls that come while one is on its
// way share the next one, so that a herd of watchers costs two barriers.
net::awaitable<result<void>> replicator::wait_for_read_barrier(time_point deadline)
{
    if (storage_failure_) {
        // What is committed now cannot be applied here.
        co_return *storage_failure_;
    }
    if (!next_barrier_) {
        next_barrier_ = std::make_shared<shared_barrier>();
    }
    auto joined = next_barrier_;
    if (!is_barrier_running_) {
        is_barrier_running_ = true;
        net::co_spawn(control_, run_barriers(), net::detached);
    }
    while (!joined->outcome && steady_clock::now() < deadline) {
        net::steady_timer timer(control_, deadline);
        joined->waiting.insert(&timer);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        joined->waiting.erase(&timer);
    }
    if (!joined->outcome) {
        co_return fail(error_kind::no_quorum, "not confirmed before the deadline");
    }
    co_return *joined->outcome;
}

net::awaitable<void> replicator::run_barriers()
{
    while (next_barrier_) {
        auto barrier = std::exchange(next_barrier_, nullptr);
        auto outcome = co_await run_barrier(steady_clock::now() + barrier_timeout);
        barrier->outcome = std::move(outcome);
        for (auto* timer : barrier->waiting) {
            timer->cancel();
        }
    }
    is_barrier_running_ = false;
}

// The barrier's log entry follows all entries accepted before the call.
net::awaitable<result<void>> replicator::run_barrier(time_point deadline)
{
    command barrier = read_barrier{};
    auto accepted = co_await propose(std::move(barrier), deadline, false);
    if (!accepted) {
        co_return accepted.error();
    }
    while (applied_.applied() < accepted.value().index) {
        if (steady_clock::now() >= deadline) {
            co_return fail(error_kind::no_quorum, "did not catch up before the deadline");
        }
        co_await sleep_for(leader_poll_interval);
    }
    co_return success();
}

net::awaitable<void> replicator::notify_leader(std::string method, rpc_message request)
{
    auto leader = consensus_ ? consensus_->leader(steady_clock::now()) : keeper_id();
    if (leader.empty() || leader == settings_.id) {
        co_return;
    }
    request.body["forwarded"] = true;
    auto deadline = steady_clock::now() + notify_timeout;
    // A lost call is harmless: the caller repeats it while the condition lasts.
    static_cast<void>(co_await network_.call(std::move(leader), std::move(method),
                                             std::move(request), deadline));
}

void replicator::propose_as_leader(const command& change)
{
    auto text = encode_command(change);
    if (!text) {
        log_line(log_event::command_refused, {{"detail", text.error().detail}});
        return;
    }
    consensus_->propose(command_text{std::move(text.value())});
}

net::awaitable<result<proposal_outcome>>
replicator::propose_locally(const std::string& text, time_point deadline)
{
    auto id = consensus_->propose(command_text{text});
    if (!id) {
        co_return fail(error_kind::no_quorum, "leadership is being handed over");
    }
    wake_output_loop();
    auto completed = co_await proposals_.wait(*id, deadline);
    if (completed->state == proposal_state::pending) {
        co_return fail(error_kind::outcome_unknown, "not accepted before the deadline");
    }
    if (completed->state == proposal_state::replaced) {
        co_return fail(error_kind::no_quorum, "the leader changed");
    }
    proposal_outcome accepted;
    accepted.index = id->index;
    accepted.outcome = completed->outcome;
    co_return accepted;
}

net::awaitable<result<proposal_outcome>>
replicator::forward_to(keeper_id leader, const command& change, time_point deadline)
{
    rpc_message request;
    request.body["command"] = to_value(change);
    request.body["forwarded"] = true;
    auto answer = co_await network_.call(std::move(leader), "keeper.propose",
                                         std::move(request), deadline);
    if (!answer) {
        co_return answer.error();
    }
    const auto& body = answer.value().body;
    auto outcome = outcome_from(body["outcome"]);
    if (!outcome) {
        co_return outcome.error();
    }
    proposal_outcome accepted;
    accepted.index = control_index(number_of(body, "index"));
    accepted.outcome = std::move(outcome.value());
    co_return accepted;
}

} // namespace papayabridge

// Proposals, here and at the leader.

#include "replicator.hpp"

#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds leader_poll{20};
constexpr std::chrono::milliseconds tell_timeout{300};

} // namespace

net::awaitable<result<proposal_outcome>>
replicator::propose(command change, time_point deadline, bool forwarded)
{
    auto text = to_json(to_value(change));
    bool may_be_accepted = false;
    auto failure = fail(error_kind::no_quorum, "the keepers have no leader");
    while (steady_clock::now() < deadline) {
        if (storage_failure_) {
            failure = *storage_failure_;
            break;
        }
        auto leader = consensus_ ? consensus_->leader(steady_clock::now()) : keeper_id();
        if (leader == settings_.id) {
            auto accepted = co_await propose_here(text, deadline);
            if (accepted) {
                co_return accepted;
            }
            failure = accepted.error();
        } else if (forwarded) {
            failure = fail(error_kind::not_leader, settings_.id.str() + " does not lead");
            break;
        } else if (!leader.empty()) {
            auto accepted = co_await pass_on(leader, change, deadline);
            if (accepted) {
                co_return accepted;
            }
            failure = accepted.error();
        }
        may_be_accepted = may_be_accepted || failure.kind == error_kind::outcome_unknown;
        co_await pause(leader_poll);
    }
    if (may_be_accepted) {
        failure.kind = error_kind::outcome_unknown;
    }
    co_return failure;
}

// The barrier has its place in the log after all that was accepted before the call.
net::awaitable<result<void>> replicator::confirm_newest(time_point deadline)
{
    command barrier = read_barrier{};
    auto accepted = co_await propose(std::move(barrier), deadline, false);
    if (!accepted) {
        co_return accepted.error();
    }
    while (applied_.applied() < accepted.value().index) {
        if (steady_clock::now() >= deadline) {
            co_return fail(error_kind::no_quorum, "not caught up by the deadline");
        }
        co_await pause(leader_poll);
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
    auto until = steady_clock::now() + tell_timeout;
    // The caller says it again as long as it holds.
    static_cast<void>(co_await network_.call(std::move(leader), std::move(method),
                                             std::move(request), until));
}

net::awaitable<result<proposal_outcome>> replicator::propose_here(const std::string& text,
                                                                  time_point deadline)
{
    auto place = consensus_->propose(command_text{text});
    if (!place) {
        co_return fail(error_kind::no_quorum, "leadership is being handed over");
    }
    kick();
    auto settled = co_await proposals_.wait(*place, deadline);
    if (settled->state == proposal_state::pending) {
        co_return fail(error_kind::outcome_unknown, "not accepted by the deadline");
    }
    if (settled->state == proposal_state::replaced) {
        co_return fail(error_kind::no_quorum, "the leader changed");
    }
    proposal_outcome accepted;
    accepted.index = place->index;
    accepted.outcome = settled->outcome;
    co_return accepted;
}

net::awaitable<result<proposal_outcome>>
replicator::pass_on(keeper_id leader, const command& change, time_point deadline)
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

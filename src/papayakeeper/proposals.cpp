#include "proposals.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

net::awaitable<std::shared_ptr<proposal>> pending_proposals::wait(log_entry_id id,
                                                                  time_point deadline)
{
    auto waiter = std::make_shared<proposal>(executor_);
    waiter->id = id;
    waiter->done.expires_at(deadline);
    auto it = waiting_.emplace(id.index, waiter);
    co_await waiter->done.async_wait(net::as_tuple(net::use_awaitable));
    if (waiter->state == proposal_state::pending) {
        waiting_.erase(it);
    }
    co_return waiter;
}

void pending_proposals::complete(log_entry_id id, const command_outcome& outcome)
{
    auto [first, last] = waiting_.equal_range(id.index);
    for (auto it = first; it != last;) {
        auto& waiter = *it->second;
        bool same_term = waiter.id.term == id.term;
        waiter.state = same_term ? proposal_state::accepted : proposal_state::replaced;
        waiter.outcome = outcome;
        waiter.done.cancel();
        it = waiting_.erase(it);
    }
}

void pending_proposals::wake_all()
{
    for (auto& [index, waiter] : waiting_) {
        waiter->done.cancel();
    }
}

} // namespace papayabridge

#include "proposals.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace papayabridge {

net::awaitable<std::shared_ptr<proposal>> pending_proposals::wait(log_entry_id place,
                                                                  time_point deadline)
{
    auto one = std::make_shared<proposal>(executor_);
    one->place = place;
    one->done.expires_at(deadline);
    auto at = waiting_.emplace(place.index, one);
    co_await one->done.async_wait(net::as_tuple(net::use_awaitable));
    if (one->state == proposal_state::pending) {
        waiting_.erase(at);
    }
    co_return one;
}

void pending_proposals::complete(log_entry_id place, const command_outcome& outcome)
{
    auto [first, last] = waiting_.equal_range(place.index);
    for (auto at = first; at != last;) {
        auto& one = *at->second;
        bool same = one.place.term == place.term;
        one.state = same ? proposal_state::accepted : proposal_state::replaced;
        one.outcome = outcome;
        one.done.cancel();
        at = waiting_.erase(at);
    }
}

void pending_proposals::wake_all()
{
    for (auto& [index, one] : waiting_) {
        one->done.cancel();
    }
}

} // namespace papayabridge

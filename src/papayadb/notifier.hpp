/// \file notifier.hpp
/// Lets coroutines of one thread wait for a change of state with a deadline.

#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <set>

namespace papayadb {

namespace net = boost::asio;
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;

/// Wakes all that wait; each looks again at what it waits for.
class notifier
{
public:
    /// Returns at the next notify(), or at \p deadline.
    net::awaitable<void> wait(time_point deadline)
    {
        net::steady_timer timer(co_await net::this_coro::executor);
        timer.expires_at(deadline);
        waiting_.insert(&timer);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        waiting_.erase(&timer);
    }

    void notify()
    {
        for (auto* timer : waiting_) {
            timer->cancel();
        }
    }

private:
    std::set<net::steady_timer*> waiting_;
};

/// Suspends the coroutine for \p wait.
inline net::awaitable<void> pause(steady_clock::duration wait)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(wait);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

} // namespace papayadb

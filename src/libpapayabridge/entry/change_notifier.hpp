/// \file change_notifier.hpp
/// Lets coroutines of one thread wait for a state change.

#pragma once

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/links.hpp>
#include <vector>

namespace papayabridge {

/// A condition variable for coroutines. Not thread-safe.
class change_notifier
{
public:
    /// Returns at the next notify() or at \p deadline. The caller must check its
    /// condition again.
    net::awaitable<void> wait(time_point deadline)
    {
        net::steady_timer timer(co_await net::this_coro::executor, deadline);
        waiting_.push_back(&timer);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        std::erase(waiting_, &timer);
    }

    /// Resumes all waiting coroutines.
    void notify()
    {
        for (auto* timer : waiting_) {
            timer->cancel();
        }
    }

private:
    std::vector<net::steady_timer*> waiting_;
};

/// Suspends the coroutine for \p wait.
inline net::awaitable<void> pause_for(std::chrono::nanoseconds wait)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(wait);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

} // namespace papayabridge

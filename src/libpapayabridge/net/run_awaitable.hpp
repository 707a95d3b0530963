/// \file run_awaitable.hpp
/// For tests: runs one coroutine to its end on a context.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

namespace papayabridge {

template <class T>
boost::asio::awaitable<void> keep_result(boost::asio::awaitable<T> work,
                                         std::optional<T>& kept)
{
    auto value = co_await std::move(work);
    kept.emplace(std::move(value));
}

/// Runs \p context until it is out of work, or \p work is done; returns its result.
template <class T>
T run_awaitable(boost::asio::io_context& context, boost::asio::awaitable<T> work)
{
    std::optional<T> kept;
    context.restart();
    boost::asio::co_spawn(context, keep_result(std::move(work), kept),
                          boost::asio::detached);
    while (!kept && context.run_one() > 0) {
    }
    return std::move(kept.value());
}

} // namespace papayabridge

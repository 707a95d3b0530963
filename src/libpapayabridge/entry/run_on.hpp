/// \file run_on.hpp
/// Runs a coroutine on another executor and resumes the caller on its own.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <papayabridge/links.hpp>

namespace papayabridge {

/// Wraps the value of \p operation in an optional: net::co_spawn needs a result that can
/// be default-constructed.
template <class Value>
net::awaitable<std::optional<Value>> as_optional(net::awaitable<Value> operation)
{
    std::optional<Value> value;
    value.emplace(co_await std::move(operation));
    co_return value;
}

/// Runs \p operation on \p executor. The caller resumes on its own executor.
template <class Value>
net::awaitable<Value> run_on(net::any_io_executor executor,
                             net::awaitable<Value> operation)
{
    auto value = co_await net::co_spawn(executor, as_optional(std::move(operation)),
                                        net::use_awaitable);
    co_return std::move(*value);
}

} // namespace papayabridge

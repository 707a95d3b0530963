#include "storage_worker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>

namespace papayabridge {

namespace net = boost::asio;

namespace {

struct task_state
{
    storage_task task;
    std::optional<result<void>> task_result;
};

net::awaitable<void> run(std::shared_ptr<task_state> state)
{
    state->task_result.emplace(state->task());
    co_return;
}

} // namespace

net::awaitable<result<void>> run_on_storage(net::any_io_executor storage,
                                            storage_task task)
{
    auto state = std::make_shared<task_state>();
    state->task = std::move(task);
    co_await net::co_spawn(storage, run(state), net::use_awaitable);
    co_return *state->task_result;
}

} // namespace papayabridge

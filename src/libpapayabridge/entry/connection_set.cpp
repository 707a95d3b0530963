#include "connection_set.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace papayabridge {

namespace {
constexpr std::chrono::milliseconds warm_connect_timeout{1000};
constexpr std::chrono::milliseconds warm_retry_delay{100};
} // namespace

connection_set::connection_set(net::any_io_executor executor,
                               std::shared_ptr<link_table> links, tcp::endpoint remote,
                               std::size_t max_open, std::size_t warm_target)
    : executor_(std::move(executor)), links_(std::move(links)),
      remote_(std::move(remote)), max_open_(max_open),
      warm_target_(std::min(warm_target, max_open))
{
}

net::awaitable<result<std::unique_ptr<http_connection>>>
connection_set::connect(time_point deadline)
{
    ++open_count_;
    auto connected = co_await http_connection::connect(links_, remote_, deadline);
    if (!connected) {
        --open_count_;
        freed_.notify();
    }
    co_return connected;
}

net::awaitable<result<std::unique_ptr<http_connection>>>
connection_set::acquire(time_point deadline)
{
    while (true) {
        while (!idle_.empty()) {
            auto connection = std::move(idle_.back());
            idle_.pop_back();
            if (!closed_ && connection->reusable()) {
                co_return connection;
            }
            --open_count_;
        }
        if (closed_) {
            co_return fail(error_kind::superseded, "the gate was closed");
        }
        if (open_count_ < max_open_) {
            auto connected = co_await connect(deadline);
            co_return connected;
        }
        if (steady_clock::now() >= deadline) {
            co_return fail(error_kind::deadline_passed,
                           "no connection became free before the deadline");
        }
        co_await freed_.wait(deadline);
    }
}

void connection_set::release(std::unique_ptr<http_connection> connection)
{
    if (!closed_ && connection && connection->reusable()) {
        idle_.push_back(std::move(connection));
    } else {
        --open_count_;
    }
    freed_.notify();
    warm_up();
}

void connection_set::warm_up()
{
    if (warming_up_ || closed_ || open_count_ >= warm_target_) {
        return;
    }
    warming_up_ = true;
    auto self = shared_from_this();
    net::co_spawn(
        executor_, [self] { return self->open_warm_connections(); }, net::detached);
}

net::awaitable<void> connection_set::open_warm_connections()
{
    while (!closed_ && open_count_ < warm_target_) {
        auto connected = co_await connect(steady_clock::now() + warm_connect_timeout);
        if (!connected) {
            co_await pause_for(warm_retry_delay);
            continue;
        }
        if (closed_) {
            --open_count_;
            break;
        }
        idle_.push_back(std::move(connected.value()));
        freed_.notify();
    }
    warming_up_ = false;
}

void connection_set::close()
{
    closed_ = true;
    open_count_ -= idle_.size();
    idle_.clear();
    freed_.notify();
}

} // namespace papayabridge

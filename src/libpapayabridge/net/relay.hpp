/// \file relay.hpp
/// For tests: forwards TCP connections to another address, and can let those that are
/// open go silent.

#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <vector>

namespace papayabridge {

/// Listens on a loopback address of its own. Runs on one context; what it forwards ends
/// with the relay.
class relay
{
public:
    using tcp = boost::asio::ip::tcp;

    relay(boost::asio::io_context& context, tcp::endpoint target)
        : acceptor_(std::make_shared<tcp::acceptor>(
              context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))),
          target_(std::move(target))
    {
        boost::asio::co_spawn(context, accept(acceptor_, target_, channels_),
                              boost::asio::detached);
    }
    ~relay()
    {
        stop_accepting();
        for (const auto& one : *channels_) {
            one->close();
        }
    }
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    tcp::endpoint endpoint() const { return acceptor_->local_endpoint(); }

    /// Forwards nothing more on the connections that are open now, and closes none.
    /// Later connections work.
    void silence_open_connections()
    {
        for (const auto& one : *channels_) {
            one->is_silent = true;
        }
    }

    /// Refuses later connections; those that are open work.
    void stop_accepting()
    {
        boost::system::error_code ignored;
        acceptor_->close(ignored);
    }

    /// The connections accepted so far.
    std::size_t accepted() const { return channels_->size(); }

private:
    struct channel
    {
        explicit channel(tcp::socket accepted)
            : caller(std::move(accepted)), server(caller.get_executor())
        {
        }

        void close()
        {
            boost::system::error_code ignored;
            caller.close(ignored);
            server.close(ignored);
        }

        tcp::socket caller;
        tcp::socket server;
        bool is_silent = false;
    };
    using channel_list = std::shared_ptr<std::vector<std::shared_ptr<channel>>>;

    static constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

    static boost::asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor,
                                               tcp::endpoint target,
                                               channel_list channels)
    {
        while (acceptor->is_open()) {
            auto [failed, socket] = co_await acceptor->async_accept(use_tuple);
            if (failed) {
                co_return;
            }
            auto accepted = std::make_shared<channel>(std::move(socket));
            channels->push_back(accepted);
            boost::asio::co_spawn(acceptor->get_executor(), serve(accepted, target),
                                  boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> serve(std::shared_ptr<channel> served,
                                              tcp::endpoint target)
    {
        auto [failed] = co_await served->server.async_connect(target, use_tuple);
        if (failed) {
            served->close();
            co_return;
        }
        auto executor = served->caller.get_executor();
        boost::asio::co_spawn(executor, forward(served, served->caller, served->server),
                              boost::asio::detached);
        co_await forward(served, served->server, served->caller);
    }

    static boost::asio::awaitable<void> forward(std::shared_ptr<channel> both,
                                                tcp::socket& from, tcp::socket& to)
    {
        std::array<char, 64 * 1024> bytes{};
        while (true) {
            auto [failed, count] =
                co_await from.async_read_some(boost::asio::buffer(bytes), use_tuple);
            if (both->is_silent) {
                // The sockets stay open: neither side learns of it.
                co_return;
            }
            if (failed) {
                break;
            }
            auto [not_sent, sent] = co_await boost::asio::async_write(
                to, boost::asio::buffer(bytes.data(), count), use_tuple);
            if (not_sent) {
                break;
            }
        }
        both->close();
    }

    std::shared_ptr<tcp::acceptor> acceptor_;
    tcp::endpoint target_;
    channel_list channels_ = std::make_shared<std::vector<std::shared_ptr<channel>>>();
};

} // namespace papayabridge

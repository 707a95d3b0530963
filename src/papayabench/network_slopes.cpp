#include "measure.hpp"
#include "slopes.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/http.hpp>
#include <papayabridge/rpc.hpp>
#include <thread>

namespace papayabench {

namespace {

using namespace papayabridge;
using namespace std::chrono_literals;

constexpr std::size_t kilobyte = 1024;

tcp::endpoint loopback()
{
    return {net::ip::make_address("127.0.0.1"), 0};
}

net::awaitable<result<rpc_message>> answer_watch(rpc_message)
{
    rpc_message answer;
    answer.body["applied"] = 123456;
    answer.body["leader_known"] = true;
    answer.body["commands"] = Json::Value(Json::arrayValue);
    co_return answer;
}

net::awaitable<void> watch(rpc_client& client, std::size_t rounds, std::size_t& done)
{
    for (std::size_t i = 0; i < rounds; ++i) {
        rpc_message request;
        request.body["from"] = 123456;
        request.body["wait_ms"] = 1000;
        request.body["entry"] = "entry-123";
        request.body["incarnation"] = 1;
        auto deadline = steady_clock::now() + 30s;
        auto answer = co_await client.call("keeper.watch", std::move(request), deadline);
        done += answer ? 1 : 0;
    }
}

std::uint64_t bytes_of(const link_table& links)
{
    std::uint64_t bytes = 0;
    for (const auto& way : links.links()) {
        for (std::size_t i = 0; i < traffic_cause_count; ++i) {
            bytes += way->sent[i] + way->received[i];
        }
    }
    return bytes;
}

net::awaitable<void> answer_ok(http_exchange& exchange)
{
    auto response = make_response(200, "{}");
    static_cast<void>(co_await exchange.reply(std::move(response)));
}

// Opens a connection, uses it once and leaves it idle.
void open_idle(net::io_context& context, const tcp::endpoint& remote,
               std::vector<tcp::socket>& sockets)
{
    sockets.emplace_back(context);
    auto& socket = sockets.back();
    socket.connect(remote);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    net::write(socket, net::buffer(request));
    std::array<char, 1024> answer{};
    socket.read_some(net::buffer(answer));
}

} // namespace

// Server and clients run in this process, so the processor time is that of both sides.
void measure_watchers(Json::Value& rows)
{
    constexpr std::size_t rounds = 20;
    const token_codec key("the fleet's key of this measurement");
    for (std::size_t count : {50, 100, 200, 400}) {
        net::io_context context{1};
        auto links = std::make_shared<link_table>();
        rpc_server server(context.get_executor(), loopback(), key);
        server.add_method("keeper.watch", answer_watch);
        if (!server.start()) {
            return;
        }
        auto before = heap_bytes();
        std::vector<std::unique_ptr<rpc_client>> clients;
        std::size_t opened = 0;
        for (std::size_t i = 0; i < count; ++i) {
            clients.push_back(std::make_unique<rpc_client>(context.get_executor(), links,
                                                           server.local_endpoint(), key));
            net::co_spawn(context, watch(*clients.back(), 1, opened), net::detached);
        }
        while (opened < count && context.run_one() > 0) {
        }
        auto held = heap_bytes() - before;
        auto bytes_before = bytes_of(*links);
        auto cpu_before = cpu_seconds();
        std::size_t done = 0;
        for (const auto& client : clients) {
            net::co_spawn(context, watch(*client, rounds, done), net::detached);
        }
        while (done < count * rounds && context.run_one() > 0) {
        }
        auto calls = static_cast<double>(done);
        auto cpu_us = (cpu_seconds() - cpu_before) * 1e6;
        auto bytes = static_cast<double>(bytes_of(*links) - bytes_before);
        auto size = static_cast<double>(count);
        add_sample(rows, {"watchers", "processor time a call, both sides", "us", size,
                          cpu_us / calls});
        add_sample(rows,
                   {"watchers", "bytes a call, both ways", "bytes", size, bytes / calls});
        add_sample(rows, {"watchers", "memory of all connections, both sides", "KB", size,
                          double(held) / kilobyte});
        clients.clear();
        server.stop();
        context.poll();
    }
}

void measure_idle_connections(Json::Value& rows)
{
    net::io_context serving{1};
    net::io_context calling{1};
    http_server_options options;
    options.listen = loopback();
    http_server server(serving, {&serving}, options, answer_ok);
    if (!server.start()) {
        return;
    }
    std::thread thread([&serving] { serving.run(); });
    std::vector<tcp::socket> sockets;
    sockets.reserve(7000);
    auto before = resident_bytes();
    for (std::size_t count : {1000, 2000, 4000, 7000}) {
        while (sockets.size() < count) {
            open_idle(calling, server.local_endpoint(), sockets);
        }
        auto held = static_cast<double>(resident_bytes() - before);
        add_sample(rows, {"idle connections", "resident memory, with the peer's sockets",
                          "KB", static_cast<double>(count), held / kilobyte});
    }
    server.stop_accepting();
    sockets.clear();
    thread.join();
}

} // namespace papayabench

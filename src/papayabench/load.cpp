#include "load.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>

namespace papayabench {

namespace {

using namespace papayabridge;
using namespace std::chrono_literals;

constexpr std::size_t most_answer_bytes = 1024 * 1024;
constexpr auto request_timeout = 10s;

// What one load gathers; one thread.
struct gathered
{
    std::vector<double> latencies_us;
    std::size_t errors = 0;
    std::size_t open = 0;
};

http_request request_of(const load_options& options, const std::string& target)
{
    auto request = make_request(http::verb::post, target, options.body);
    for (const auto& [name, value] : options.headers) {
        request.set(name, value);
    }
    return request;
}

net::awaitable<bool> call_once(http_connection& connection, const load_options& options,
                               const std::string& target)
{
    auto deadline = steady_clock::now() + request_timeout;
    auto head = co_await connection.send(request_of(options, target), deadline);
    if (!head) {
        co_return false;
    }
    auto body = co_await connection.read_all(most_answer_bytes, deadline);
    co_return body.has_value() && head.value().status == 200;
}

net::awaitable<void> loop(const load_options& options, std::size_t first,
                          time_point until, gathered& sums)
{
    auto links = std::make_shared<link_table>();
    auto connected =
        co_await http_connection::connect(links, options.remote, until + request_timeout);
    if (!connected) {
        ++sums.errors;
        co_return;
    }
    auto& connection = *connected.value();
    for (std::size_t i = first; steady_clock::now() < until; ++i) {
        auto begun = steady_clock::now();
        bool good = co_await call_once(connection, options,
                                       options.targets[i % options.targets.size()]);
        std::chrono::duration<double, std::micro> spent = steady_clock::now() - begun;
        if (!good) {
            ++sums.errors;
        }
        if (!connection.response_complete()) {
            co_return;
        }
        if (good) {
            sums.latencies_us.push_back(spent.count());
        }
    }
}

net::awaitable<void> open_idle(const load_options& options,
                               std::vector<std::unique_ptr<http_connection>>& held,
                               std::size_t& tried)
{
    auto links = std::make_shared<link_table>();
    auto connected = co_await http_connection::connect(
        links, options.remote, steady_clock::now() + request_timeout);
    if (connected) {
        static_cast<void>(
            co_await call_once(*connected.value(), options, options.targets.front()));
        held.push_back(std::move(connected.value()));
    }
    ++tried;
}

} // namespace

Json::Value run_load(const load_options& options)
{
    net::io_context context{1};
    gathered sums;
    auto begun = steady_clock::now();
    for (std::size_t i = 0; i < options.connections; ++i) {
        net::co_spawn(context, loop(options, i, begun + options.duration, sums),
                      net::detached);
    }
    context.run();
    std::chrono::duration<double> spent = steady_clock::now() - begun;
    auto& sorted = sums.latencies_us;
    std::sort(sorted.begin(), sorted.end());
    Json::Value answer;
    answer["requests"] = Json::UInt64(sorted.size());
    answer["errors"] = Json::UInt64(sums.errors);
    answer["per_second"] = static_cast<double>(sorted.size()) / spent.count();
    if (!sorted.empty()) {
        answer["min_us"] = sorted.front();
        answer["median_us"] = sorted[sorted.size() / 2];
        answer["p99_us"] = sorted[sorted.size() * 99 / 100];
        answer["max_us"] = sorted.back();
    }
    return answer;
}

void hold_idle(const load_options& options, std::size_t count)
{
    net::io_context context{1};
    std::vector<std::unique_ptr<http_connection>> held;
    std::size_t tried = 0;
    for (std::size_t i = 0; i < count; ++i) {
        net::co_spawn(context, open_idle(options, held, tried), net::detached);
        while (tried == i && context.run_one() > 0) {
        }
    }
    std::cout << held.size() << std::endl;
    std::string line;
    while (std::getline(std::cin, line)) {
    }
}

} // namespace papayabench

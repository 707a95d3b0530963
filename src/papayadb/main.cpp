// papayadb: a stand-in for one database member.

#include "announcer.hpp"
#include "control_calls.hpp"
#include "data_calls.hpp"
#include "replication.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <papayabridge/daemon.hpp>

namespace papayadb {

namespace {

using papayabridge::daemon_runtime;
using papayabridge::exit_code;

// Ends the process once it has left and nothing is open, or after the longest wait.
net::awaitable<void> finish(member_node& node, daemon_runtime& runtime)
{
    // Longer than new work is taken, so that what comes too late is seen and counted.
    constexpr std::chrono::seconds least_wait{5};
    constexpr std::chrono::seconds longest_wait{15};
    constexpr std::chrono::milliseconds poll{20};
    auto start = steady_clock::now();
    while (steady_clock::now() < start + least_wait ||
           (!node.quiet() && steady_clock::now() < start + longest_wait))
    {
        co_await pause(poll);
    }
    runtime.stop();
}

int run(member_node& node)
{
    daemon_runtime runtime(0);
    data_calls data(node);
    control_calls control(node);
    replication puller(node);
    announcer teller(node);

    constexpr std::size_t largest_request = 64 * 1024 * 1024;
    papayabridge::http_server_options options{.listen = node.settings.listen,
                                              .max_body_bytes = largest_request};
    options.on_close = [&](const endpoint& remote) { data.closed(remote); };
    auto handler = [&](papayabridge::http_exchange& exchange) -> net::awaitable<void> {
        if (exchange.request().target() == "/statement") {
            co_await data.serve(exchange);
        } else {
            co_await control.serve(exchange);
        }
    };
    papayabridge::http_server server(runtime.control_context(),
                                     {&runtime.control_context()}, options, handler);
    if (auto started = server.start(); !started) {
        std::cerr << started.error().str() << "\n";
        return static_cast<int>(exit_code::cannot_start);
    }
    net::co_spawn(runtime.control_context(), puller.run(), net::detached);
    net::co_spawn(runtime.control_context(), teller.run(), net::detached);
    using papayabridge::log_event;
    papayabridge::log_line(
        log_event::process_started,
        {{"at", papayabridge::to_string(node.settings.listen)},
         {"term", papayabridge::log_number(node.state.accepted().value())},
         {"position", node.state.last().str()}});
    runtime.run([&] {
        node.leave();
        net::co_spawn(runtime.control_context(), finish(node, runtime), net::detached);
    });
    return static_cast<int>(exit_code::success);
}

} // namespace

} // namespace papayadb

int main(int argc, char** argv)
{
    auto options = papayabridge::parse_daemon_options(
        argc, argv, "papayadb: a stand-in for one database member");
    auto document = papayabridge::settings_document::open(options.settings_file);
    papayadb::member_faults behaviour;
    auto settings = papayadb::read_settings(document, behaviour);
    papayabridge::validate_settings_or_exit(options, document);
    papayabridge::start_log(settings.member);

    papayadb::member_node node(std::move(settings), behaviour);
    if (!node.settings.data.empty()) {
        auto opened = node.file.open(node.settings.data, node.state);
        if (!opened) {
            std::cerr << opened.error().str() << "\n";
            return static_cast<int>(papayabridge::exit_code::cannot_start);
        }
        node.kept_term = node.state.accepted();
        node.complete = node.state.accepted() != papayabridge::term();
        node.keep_and_wake();
    }
    return papayadb::run(node);
}

/// \file caller_service.hpp
/// The HTTP interface of an entry: callers, other entries, members, operators' probes.

#pragma once

#include "router.hpp"

#include <functional>
#include <papayabridge/metrics.hpp>

namespace papayabridge {

/// What the service asks of the control thread; called on traffic threads.
struct control_hooks
{
    /// A member announced itself.
    std::function<net::awaitable<result<void>>(announce_member)> announce;
    /// Whether this entry takes new work from the balancer.
    std::function<bool()> ready;
};

/// What the service is made of. The pointed-to objects outlive it.
struct caller_service_options
{
    const entry_settings* settings = nullptr;
    view_holder* view = nullptr;
    shard_host* shards = nullptr;
    event_log* events = nullptr;
    std::vector<net::io_context*> traffic;
    control_hooks control;
};

/// Answers every HTTP request of an entry.
class caller_service
{
public:
    explicit caller_service(caller_service_options options);

    /// The handler for http_server.
    net::awaitable<void> handle(http_exchange& exchange);

private:
    /// The parts of "/v1/SERVICE/DATABASE/KIND[/TRANSACTION/ACTION]".
    struct target
    {
        database_key database;
        std::string kind;
        std::string transaction;
        std::string action;
    };
    struct counters;
    /// State of one traffic thread.
    struct thread_state;

    using page = net::awaitable<void> (caller_service::*)(http_exchange&);
    struct page_row
    {
        http::verb verb;
        std::string_view target;
        page answer;
    };
    static const page_row pages[];

    net::awaitable<void> health(http_exchange& exchange);
    net::awaitable<void> metrics_page(http_exchange& exchange);
    net::awaitable<void> execute_forwarded(http_exchange& exchange);
    net::awaitable<void> announce(http_exchange& exchange);
    net::awaitable<void> inject_fault(http_exchange& exchange);

    net::awaitable<void> caller_call(http_exchange& exchange);
    net::awaitable<void> run(http_exchange& exchange, const target& where);
    net::awaitable<result<gate_answer>> dispatch(http_exchange& exchange,
                                                 const target& where,
                                                 gate_request& request,
                                                 session_watermarks& marks);
    net::awaitable<void> answer_caller(http_exchange& exchange, const target& where,
                                       const gate_request& request,
                                       session_watermarks marks, result<gate_answer> got);
    net::awaitable<void> refuse(http_exchange& exchange, const gate_request& request,
                                const error& problem);
    net::awaitable<void> send(http_exchange& exchange, http_response head,
                              gate_answer answer);
    static result<target> parse_target(std::string_view text);
    net::awaitable<thread_state*> this_thread();
    request_id next_request();
    void count(const gate_request& request, std::string_view outcome, time_point arrived);

    caller_service_options options_;
    token_codec key_;
    std::vector<std::unique_ptr<thread_state>> threads_;
    std::string request_prefix_;
    std::atomic<std::uint64_t> next_request_{1};

public:
    ~caller_service();
};

} // namespace papayabridge

/// \file caller_service.hpp
/// The HTTP interface of an entry: callers, other entries, members, operators' probes.

#pragma once

#include "router.hpp"

#include <functional>
#include <papayabridge/metrics.hpp>

namespace papayabridge {

/// Callbacks into the control side of the entry. Called on traffic threads.
struct control_hooks
{
    /// Handles a member's announcement.
    std::function<net::awaitable<result<void>>(announce_member)> announce;
    /// Whether the load balancer may send requests to this entry.
    std::function<bool()> is_ready;
};

/// Options of a caller service. The pointed-to objects must outlive it.
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

    /// Answers one request; the handler of the HTTP server.
    net::awaitable<void> handle(http_exchange& exchange);

private:
    /// A request path of the form "/v1/SERVICE/DATABASE/KIND[/TRANSACTION/ACTION]".
    struct call_target
    {
        database_key database;
        std::string kind;
        std::string transaction;
        std::string action;
    };
    struct counters;
    /// State that is private to one traffic thread.
    struct thread_state;

    using route_handler = net::awaitable<void> (caller_service::*)(http_exchange&);
    struct route
    {
        http::verb verb;
        std::string_view target;
        route_handler handler;
    };
    static const route routes[];

    net::awaitable<void> answer_health(http_exchange& exchange);
    net::awaitable<void> answer_metrics(http_exchange& exchange);
    net::awaitable<void> execute_forwarded(http_exchange& exchange);
    net::awaitable<void> handle_announcement(http_exchange& exchange);
    net::awaitable<void> inject_fault(http_exchange& exchange);

    net::awaitable<void> handle_caller_call(http_exchange& exchange);
    net::awaitable<void> serve_call(http_exchange& exchange, const call_target& target);
    net::awaitable<result<gate_answer>> dispatch(http_exchange& exchange,
                                                 const call_target& target,
                                                 gate_request& request,
                                                 session_watermarks& watermarks);
    net::awaitable<void> answer_caller(http_exchange& exchange, const call_target& target,
                                       const gate_request& request,
                                       session_watermarks watermarks,
                                       result<gate_answer> reply);
    net::awaitable<void> answer_error(http_exchange& exchange,
                                      const gate_request& request, const error& problem);
    net::awaitable<void> send_answer(http_exchange& exchange, http_response head,
                                     gate_answer answer);
    static result<call_target> parse_target(std::string_view text);
    net::awaitable<thread_state*> find_thread();
    request_id next_request_id();
    void count_request(const gate_request& request, std::string_view outcome,
                       time_point arrived);

    caller_service_options options_;
    token_codec codec_;
    std::vector<std::unique_ptr<thread_state>> threads_;
    std::string request_prefix_;
    std::atomic<std::uint64_t> next_request_number_{1};

public:
    ~caller_service();
};

} // namespace papayabridge

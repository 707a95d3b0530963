/// \file fleet.hpp
/// Asks the fleet's processes for an operator, all at a time.

#pragma once

#include "core/observability/operator_view.hpp"
#include "operator_settings.hpp"

namespace papayabridge {

/// One process that can be asked.
struct process_target
{
    /// "keeper 127.0.0.1:1" or "entry e1".
    std::string name;
    tcp::endpoint rpc;
};

/// Its answer, or why there is none.
struct process_answer
{
    process_target process;
    result<rpc_message> answer = fail(error_kind::unreachable, "not asked");
};

/// The events that could be had.
struct gathered_events
{
    /// Merged, in order.
    std::vector<Json::Value> events;
    /// "NAME: why" of each process that did not answer.
    std::vector<std::string> unreachable;
};

/// The fleet, as its keepers and entries answer. One thread.
class fleet
{
public:
    /// No call takes longer than \p timeout.
    fleet(net::any_io_executor executor, const operator_settings& settings,
          std::chrono::milliseconds timeout);

    /// The keepers' answers and the control state of the one that has applied most.
    net::awaitable<operator_view> keepers_and_state();
    /// All of it: keepers, state, entries.
    net::awaitable<operator_view> view();
    /// The status of each entry that \p state knows.
    net::awaitable<std::vector<entry_view>> entries(const control_state& state);
    /// Has \p change accepted or refused.
    net::awaitable<result<command_outcome>> propose(command change);
    /// Tells the entry \p id to stop gracefully.
    net::awaitable<result<void>> drain(const entry_record& entry);
    /// Events after \p after, of \p request if it is not empty.
    net::awaitable<gathered_events> events(std::uint64_t after, std::string request);
    /// Waits between two looks.
    net::awaitable<void> pause(std::chrono::milliseconds time);

private:
    net::awaitable<std::vector<keeper_view>> keeper_views();
    net::awaitable<result<control_state>> state_of(tcp::endpoint keeper);
    net::awaitable<std::vector<process_answer>>
    ask_all(const std::vector<process_target>& targets, std::string method,
            Json::Value body);
    net::awaitable<void> ask(process_answer& slot, std::string method, Json::Value body);
    std::vector<process_target> keeper_targets() const;

    net::any_io_executor executor_;
    std::vector<tcp::endpoint> keepers_;
    std::shared_ptr<rpc_clients> clients_;
    std::chrono::milliseconds timeout_;
};

} // namespace papayabridge

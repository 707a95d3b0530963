/// \file router.hpp
/// Sends each statement to a gate: chooses the member, forwards the statement if its gate
/// is at another entry, and retries within the deadline and the retry budget.
///
/// Each traffic thread has its own router.

#pragma once

#include "fleet_view.hpp"
#include "shard_host.hpp"

#include <papayabridge/retry.hpp>
#include <papayabridge/routing.hpp>
#include <random>
#include <unordered_map>

namespace papayabridge {

/// Options of a router. The pointed-to objects must outlive it.
struct router_options
{
    const entry_settings* settings = nullptr;
    view_holder* view = nullptr;
    shard_host* shards = nullptr;
    event_log* events = nullptr;
};

/// When a statement may be retried.
enum class retry_rule
{
    always,          ///< Repeatable statement: also after an unknown outcome.
    by_key,          ///< The member runs each key once: also after an unknown outcome.
    only_if_not_run, ///< Not repeatable: only if the statement certainly did not run.
};

/// Routes statements to gates. Not thread-safe.
class router
{
public:
    explicit router(router_options options);

    /// Runs a read at the members that can answer it, best first.
    net::awaitable<result<gate_answer>> read(gate_request request);
    /// Runs a write or begins a transaction at the primary.
    net::awaitable<result<gate_answer>> write(gate_request request, retry_rule rule);
    /// Runs a statement of a transaction at entry \p holder.
    net::awaitable<result<gate_answer>> in_transaction(gate_request request,
                                                       entry_id holder);

    /// Retries made so far.
    std::uint64_t retries() const noexcept { return retries_; }

private:
    /// State of one member as observed from its answers and errors.
    struct member_observations
    {
        position reached;
        std::chrono::milliseconds lag{0};
        time_point avoid_until;
    };

    net::awaitable<result<gate_answer>> call_gate(const gate_request& request,
                                                  const entry_id& gate);
    net::awaitable<result<gate_answer>> forward_to_entry(const gate_request& request,
                                                         const entry_record& entry);
    net::awaitable<bool> wait_to_retry(const gate_request& request, const error& problem,
                                       unsigned attempt);
    std::vector<route_step> plan_route(const gate_request& request,
                                       const fleet_view& view,
                                       const database_record& database);
    member_view describe_member(const fleet_view& view, const database_record& database,
                                const member_record& member);
    void record_answer(const gate_answer& answer);
    void record_failure(const member_id& member, const error& problem);
    bool is_isolated() const;

    router_options options_;
    token_codec codec_;
    http_pool pool_;
    retry_budget budget_;
    std::mt19937_64 random_;
    std::unordered_map<member_id, member_observations> observations_;
    std::uint64_t retries_ = 0;
};

} // namespace papayabridge

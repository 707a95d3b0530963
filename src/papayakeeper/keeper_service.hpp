/// \file keeper_service.hpp
/// RPC methods of a keeper for entries, other keepers and operators.

#pragma once

#include "core/routing/position_samples.hpp"
#include "promotion_controller.hpp"
#include "replicator.hpp"

#include <papayabridge/rpc.hpp>

namespace papayabridge {

/// Serves the keeper methods of docs/PROTOCOLS.md.
class keeper_service
{
public:
    keeper_service(const keeper_settings& settings, replicator& replicated,
                   event_log& events);

    /// Passes reports of unusable members to \p controller.
    void set_promotion_controller(promotion_controller& controller)
    {
        promotion_controller_ = &controller;
    }
    /// Registers all methods with \p server.
    void register_methods(rpc_server& server);

private:
    net::awaitable<result<rpc_message>> propose(rpc_message request);
    net::awaitable<result<rpc_message>> watch(rpc_message request);
    net::awaitable<result<rpc_message>> status(rpc_message request);
    net::awaitable<result<rpc_message>> receive_message(rpc_message request);
    net::awaitable<result<rpc_message>> genesis(rpc_message request);
    net::awaitable<result<rpc_message>> list_events(rpc_message request);
    net::awaitable<result<rpc_message>> cut_links(rpc_message request);
    net::awaitable<result<rpc_message>> report_trouble(rpc_message request);

    /// Confirms the state again and again while watchers ask how old it may be, once for
    /// all of them.
    net::awaitable<void> keep_confirmed();
    /// Whether a majority of the keepers confirmed the state after the call.
    net::awaitable<bool> confirm_state();
    bool is_recently_confirmed() const;
    std::optional<std::chrono::milliseconds> confirmed_age() const;
    const Json::Value& shared_changes(control_index from, const watch_update& update);

    const keeper_settings& settings_;
    replicator& replicated_;
    event_log& events_;
    promotion_controller* promotion_controller_ = nullptr;
    /// Encoded changes by the watcher's index, 0 for a snapshot, and the keeper's.
    std::map<std::pair<control_index, control_index>, Json::Value> shared_changes_;
    bool is_confirming_ = false;
    /// These two count the time for which the machine was suspended.
    position_samples::time confirm_until_{0};
    std::optional<position_samples::time> confirmed_at_;
};

} // namespace papayabridge

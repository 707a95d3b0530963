/// \file keeper_service.hpp
/// The calls that a keeper serves to entries and operators.

#pragma once

#include "promotion_duty.hpp"
#include "replicator.hpp"

#include <papayabridge/rpc.hpp>

namespace papayabridge {

/// Serves the keeper calls of docs/PROTOCOLS.md.
class keeper_service
{
public:
    keeper_service(const keeper_settings& settings, replicator& replicated,
                   event_log& events);

    /// Entries' complaints go to \p duty.
    void tell_troubles_to(promotion_controller& duty) { duty_ = &duty; }
    /// Adds the methods to \p server.
    void add_to(rpc_server& server);

private:
    net::awaitable<result<rpc_message>> propose(rpc_message request);
    net::awaitable<result<rpc_message>> watch(rpc_message request);
    net::awaitable<result<rpc_message>> status(rpc_message request);
    net::awaitable<result<rpc_message>> take_message(rpc_message request);
    net::awaitable<result<rpc_message>> genesis(rpc_message request);
    net::awaitable<result<rpc_message>> list_events(rpc_message request);
    net::awaitable<result<rpc_message>> cut_links(rpc_message request);
    net::awaitable<result<rpc_message>> hear_trouble(rpc_message request);

    const keeper_settings& settings_;
    replicator& replicated_;
    event_log& events_;
    promotion_controller* duty_ = nullptr;
};

} // namespace papayabridge

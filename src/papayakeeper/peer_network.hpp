/// \file peer_network.hpp
/// Messages between keepers.

#pragma once

#include "core/consensus_codec.hpp"
#include "core/leader_duties.hpp"
#include "keeper_settings.hpp"

#include <papayabridge/rpc.hpp>

namespace papayabridge {

/// What a keeper knows of the first voters.
struct genesis_report
{
    /// The keeper that reports.
    keeper_id id;
    keeper_incarnation incarnation;
    /// Empty if it knows none.
    voter_map voters;
    /// The keepers that it knows, itself included.
    std::map<keeper_id, tcp::endpoint> endpoints;
};

/// A message from another keeper, with the entries that keeper heard.
struct peer_message
{
    consensus_message message;
    std::vector<entry_run> entries;
};

Json::Value to_value(const genesis_report& report);

/// Sends messages to the other keepers. Single thread.
class peer_network
{
public:
    peer_network(net::any_io_executor executor, const keeper_settings& settings,
                 std::shared_ptr<rpc_clients> clients);

    /// Sends \p message without waiting; it may be lost. \p heard goes with it.
    void send(const consensus_message& message, const std::vector<entry_run>& heard);
    /// Reads a received message; nothing while the link from its sender is cut.
    std::optional<peer_message> receive(const rpc_message& request) const;
    /// Asks the keeper at \p place what it knows of the first voters.
    net::awaitable<result<genesis_report>> request_genesis(tcp::endpoint place);
    /// Keeper \p id is reached at \p place.
    void set_endpoint(const keeper_id& id, const tcp::endpoint& place);
    const std::map<keeper_id, tcp::endpoint>& endpoints() const noexcept
    {
        return places_;
    }
    /// Passes a call on to \p peer.
    net::awaitable<result<rpc_message>> call(keeper_id peer, std::string method,
                                             rpc_message request, time_point deadline);
    /// Has the keeper at \p place propose \p change.
    net::awaitable<result<rpc_message>> propose_at(tcp::endpoint place, command change,
                                                   time_point deadline);
    std::vector<keeper_id> peer_ids() const;

private:
    const tcp::endpoint* endpoint_of(const keeper_id& id) const;

    net::any_io_executor executor_;
    const keeper_settings& settings_;
    std::shared_ptr<rpc_clients> clients_;
    std::map<keeper_id, tcp::endpoint> places_;
};

} // namespace papayabridge

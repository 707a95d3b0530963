/// \file peer_network.hpp
/// Calls and consensus messages between keepers.

#pragma once

#include "core/consensus/consensus_codec.hpp"
#include "core/control/leader_duties.hpp"
#include "keeper_settings.hpp"

#include <papayabridge/rpc.hpp>

namespace papayabridge {

/// What a keeper knows about the initial voters.
struct genesis_report
{
    /// The keeper that reports.
    keeper_id id;
    keeper_incarnation incarnation;
    /// Empty if unknown.
    voter_map voters;
    /// The keepers it knows, itself included.
    std::map<keeper_id, tcp::endpoint> endpoints;
};

/// A message from another keeper, with the entries from which that keeper had requests.
struct peer_message
{
    consensus_message message;
    std::vector<entry_run> entries;
};

Json::Value to_value(const genesis_report& report);

/// Knows the addresses of the other keepers and calls them. Single thread.
class peer_network
{
public:
    peer_network(net::any_io_executor executor, const keeper_settings& settings,
                 std::shared_ptr<rpc_clients> clients);

    /// Sends \p message together with \p entries; does not wait, and the message may be
    /// lost.
    void send(const consensus_message& message, const std::vector<entry_run>& entries);
    /// Decodes a received message; nothing if it is invalid, its sender unknown or the
    /// link from the sender cut.
    std::optional<peer_message> receive(const rpc_message& request) const;
    /// Asks the keeper at \p endpoint what it knows about the initial voters.
    net::awaitable<result<genesis_report>> request_genesis(tcp::endpoint endpoint);
    /// Sets the address of keeper \p id. Does nothing for this keeper itself.
    void set_endpoint(const keeper_id& id, const tcp::endpoint& endpoint);
    /// Gives up the address of keeper \p id. Does nothing for this keeper itself.
    void remove_endpoint(const keeper_id& id);
    const std::map<keeper_id, tcp::endpoint>& endpoints() const noexcept
    {
        return endpoints_;
    }
    /// Calls \p method of keeper \p peer.
    net::awaitable<result<rpc_message>> call(keeper_id peer, std::string method,
                                             rpc_message request, time_point deadline);
    /// Asks the keeper at \p endpoint to propose \p change.
    net::awaitable<result<rpc_message>> propose_at(tcp::endpoint endpoint, command change,
                                                   time_point deadline);
    std::vector<keeper_id> peer_ids() const;

private:
    const tcp::endpoint* endpoint_of(const keeper_id& id) const;

    net::any_io_executor executor_;
    const keeper_settings& settings_;
    std::shared_ptr<rpc_clients> clients_;
    std::map<keeper_id, tcp::endpoint> endpoints_;
};

} // namespace papayabridge

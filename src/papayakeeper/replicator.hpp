/// \file replicator.hpp
/// One keeper's part in the replication: drives the consensus with messages, time and
/// durable writes, and applies what was accepted.

#pragma once

#include "applied_state.hpp"
#include "core/consensus.hpp"
#include "core/leader_duties.hpp"
#include "keeper_settings.hpp"
#include "peer_network.hpp"
#include "proposals.hpp"
#include "store/keeper_log.hpp"

#include <papayabridge/events.hpp>

namespace papayabridge {

/// All but the file work runs on the control thread.
class replicator
{
public:
    /// \p storage runs the file work, on \p files.
    replicator(net::any_io_executor control, net::any_io_executor storage,
               const keeper_settings& settings, std::shared_ptr<rpc_clients> clients,
               event_log& events, file_calls& files);

    /// Reads the files; blocks. A keeper whose files are damaged takes no part.
    void open();
    void start();
    /// Hands leadership over, if it leads, and answers what is in progress.
    net::awaitable<void> finish();

    /// Has \p change accepted by \p deadline. A call that another keeper \p forwarded is
    /// not passed on again.
    net::awaitable<result<proposal_outcome>> propose(command change, time_point deadline,
                                                     bool forwarded);
    /// Takes a consensus message.
    void receive(const rpc_message& request);
    /// Returns once this process holds all that was accepted before the call.
    net::awaitable<result<void>> confirm_newest(time_point deadline);
    /// Passes a call to the keeper that leads, if it is another one.
    net::awaitable<void> notify_leader(std::string method, rpc_message request);
    /// Replaces the places where keepers may be found.
    void set_seeds(std::vector<tcp::endpoint> seeds) { seeds_ = std::move(seeds); }
    genesis_report genesis() const;

    /// Whether a leader is heard, and this keeper goes on.
    bool leader_known() const;
    keeper_status status() const;
    applied_state& applied() noexcept { return applied_; }
    leader_duties& duties() noexcept { return duties_; }

private:
    net::awaitable<void> find_genesis();
    net::awaitable<bool> collect_genesis();
    net::awaitable<void> stay_registered();
    net::awaitable<void> register_self();
    std::vector<tcp::endpoint> places_to_ask() const;
    void set_peer_endpoint(const keeper_id& id, const tcp::endpoint& place);
    void learn_places(const genesis_report& report);
    void learn_places(const recovered_state& recovered);
    void learn_places(const pool_state& pool);
    bool finds_peers() const { return settings_.peers.empty(); }
    net::awaitable<void> adopt(voter_map voters);
    void start_consensus(recovered_state recovered);
    net::awaitable<void> keep_time();
    net::awaitable<void> pump();
    net::awaitable<result<void>> write_output(const consensus_output& output);
    net::awaitable<result<void>> save_snapshot();
    net::awaitable<void> pause(std::chrono::milliseconds time);
    void send(const std::vector<consensus_message>& messages);
    void send_snapshots(const std::vector<keeper_id>& to);
    result<void> install(const log_snapshot& snapshot);
    void apply(const log_entry& entry);
    void perform_duties();
    void note_role();
    void break_storage(const error& failure);
    void kick();
    net::awaitable<result<proposal_outcome>> propose_here(const std::string& text,
                                                          time_point deadline);
    net::awaitable<result<proposal_outcome>>
    pass_on(keeper_id leader, const command& change, time_point deadline);
    std::vector<std::string> alarms() const;

    net::any_io_executor control_;
    net::any_io_executor storage_;
    const keeper_settings& settings_;
    event_log& events_;
    peer_network network_;
    keeper_log log_;
    keeper_incarnation incarnation_;
    voter_map first_voters_;
    std::vector<tcp::endpoint> seeds_;
    std::optional<consensus> consensus_;
    std::optional<recovered_state> recovered_;
    applied_state applied_;
    pending_proposals proposals_;
    leader_duties duties_;
    net::steady_timer work_;
    bool work_due_ = false;
    control_index snapshot_index_;
    std::optional<error> storage_failure_;
    std::optional<time_point> writing_since_;
    keeper_role noted_role_ = keeper_role::follower;
    time_point started_;
    bool stopping_ = false;
};

} // namespace papayabridge

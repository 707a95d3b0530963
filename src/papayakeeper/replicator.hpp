/// \file replicator.hpp
/// Replication of one keeper: drives the consensus with messages, clock ticks and durable
/// writes, and applies accepted commands.

#pragma once

#include "applied_state.hpp"
#include "core/consensus/consensus.hpp"
#include "core/control/applied_freshness.hpp"
#include "core/control/leader_duties.hpp"
#include "keeper_settings.hpp"
#include "peer_network.hpp"
#include "proposals.hpp"
#include "storage_worker.hpp"
#include "store/keeper_log.hpp"

#include <papayabridge/events.hpp>

namespace papayabridge {

/// File operations after open() run on the storage thread, everything else on the control
/// thread.
class replicator
{
public:
    /// \p storage executes the blocking calls of \p files.
    replicator(net::any_io_executor control, net::any_io_executor storage,
               const keeper_settings& settings, std::shared_ptr<rpc_clients> clients,
               event_log& events, file_calls& files);

    /// Reads the files; blocks. A keeper with damaged files does not join the group.
    void open();
    /// Joins the group; tries to read the files again if that failed.
    void start();
    /// Transfers leadership if this keeper leads, and waits a short time for pending
    /// proposals.
    net::awaitable<void> shut_down();

    /// Proposes \p change, here or at the leader, and waits until it is applied, at most
    /// until \p deadline. A request that another keeper \p forwarded is not forwarded
    /// again.
    net::awaitable<result<proposal_outcome>> propose(command change, time_point deadline,
                                                     bool forwarded);
    /// Processes a consensus message.
    void receive(const rpc_message& request);
    /// Returns once this keeper has applied every command accepted before the call.
    net::awaitable<result<void>> wait_for_read_barrier(time_point deadline);
    /// Forwards a call to the leader, unless this keeper leads.
    net::awaitable<void> notify_leader(std::string method, rpc_message request);
    /// Replaces the addresses at which keepers may be found.
    void set_seeds(std::vector<tcp::endpoint> seeds) { seeds_ = std::move(seeds); }
    /// `storage_failed` before the files are read: a keeper without an identity cannot
    /// become a voter.
    result<genesis_report> genesis() const;

    /// Whether this keeper leads or is in contact with a leader. False while it stops and
    /// while its storage fails.
    bool leader_known() const;
    /// Whether the applied state holds all that was committed a short time ago. False
    /// without a leader, and while the storage or the network keeps the state behind.
    bool is_current() const;
    /// How long the applied state may have been incomplete. Empty if it never was
    /// complete.
    std::optional<std::chrono::milliseconds> state_age() const;
    keeper_status status() const;
    applied_state& applied() noexcept { return applied_; }
    leader_duties& duties() noexcept { return duties_; }

private:
    /// A read barrier that several calls wait for.
    struct shared_barrier
    {
        std::optional<result<void>> outcome;
        std::set<net::steady_timer*> waiting;
    };

    net::awaitable<void> run_barriers();
    net::awaitable<result<void>> run_barrier(time_point deadline);

    void finish_open(result<recovered_log> opened);
    net::awaitable<void> reopen();
    net::awaitable<void> await_genesis();
    net::awaitable<bool> try_genesis();
    net::awaitable<void> keep_registered();
    net::awaitable<void> register_self();
    std::vector<tcp::endpoint> discovery_endpoints() const;
    void set_peer_endpoint(const keeper_id& id, const tcp::endpoint& endpoint);
    void apply_registration(const keeper_record& keeper);
    void set_peer_endpoints(const genesis_report& report);
    void set_peer_endpoints(const recovered_state& recovered);
    void set_peer_endpoints(const pool_state& pool);
    bool uses_discovery() const { return settings_.peers.empty(); }
    net::awaitable<void> adopt_voters(voter_map voters);
    void start_consensus(recovered_state recovered);
    net::awaitable<void> run_clock();
    net::awaitable<void> run_output_loop();
    net::awaitable<void> write_output(const consensus_output& output);
    net::awaitable<void> save_snapshot();
    net::awaitable<void> write_until_durable(storage_task task);
    net::awaitable<void> sleep_for(std::chrono::milliseconds time);
    void send(const std::vector<consensus_message>& messages);
    void send_snapshots(const std::vector<keeper_id>& receivers);
    result<void> install(const log_snapshot& snapshot);
    void apply(const log_entry& entry);
    void propose_due_commands();
    /// Gives up the addresses of keepers that were replaced.
    void propose_departures(time_point now);
    void update_role();
    void record_commit_notice();
    void update_currency();
    void fail_storage(const error& failure);
    void recover_storage();
    void wake_output_loop();
    /// Proposes \p change without waiting for its outcome.
    void propose_as_leader(const command& change);
    net::awaitable<result<proposal_outcome>> propose_locally(const std::string& text,
                                                             time_point deadline);
    net::awaitable<result<proposal_outcome>>
    forward_to(keeper_id leader, const command& change, time_point deadline);
    std::vector<std::string> alarms() const;

    net::any_io_executor control_;
    net::any_io_executor storage_;
    const keeper_settings& settings_;
    event_log& events_;
    peer_network network_;
    keeper_log log_;
    keeper_incarnation incarnation_;
    voter_map initial_voters_;
    std::vector<tcp::endpoint> seeds_;
    std::optional<consensus> consensus_;
    std::optional<recovered_state> recovered_;
    applied_state applied_;
    pending_proposals proposals_;
    leader_duties duties_;
    net::steady_timer output_timer_;
    bool output_pending_ = false;
    control_index snapshot_index_;
    // The last attempt to write or read failed.
    std::optional<error> storage_failure_;
    time_point storage_failed_at_;
    // The files cannot be used whatever the disk does.
    bool storage_damaged_ = false;
    bool opened_ = false;
    std::optional<time_point> write_started_at_;
    applied_freshness freshness_;
    bool was_current_ = false;
    time_point currency_changed_at_;
    keeper_role last_role_ = keeper_role::follower;
    time_point leading_since_;
    time_point departure_check_due_;
    time_point started_;
    bool stopping_ = false;
    /// The barrier that the next calls join; null if none waits.
    std::shared_ptr<shared_barrier> next_barrier_;
    bool is_barrier_running_ = false;
};

} // namespace papayabridge

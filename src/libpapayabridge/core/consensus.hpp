/// \file consensus.hpp
/// The keepers' consensus as a state machine without input or output.
///
/// A driver feeds it messages and time, takes its output, makes the writes of the output
/// durable, sends its messages and applies what was accepted.

#pragma once

#include "consensus_log.hpp"

#include <chrono>
#include <random>
#include <set>

namespace papayabridge {

using steady_time = std::chrono::steady_clock::time_point;

/// Options of one keeper.
struct consensus_options
{
    keeper_id self;
    keeper_incarnation incarnation;
    /// All keepers of the group, itself included.
    std::vector<keeper_id> group;
    /// A follower that hears no leader for between one and two of these asks for votes.
    std::chrono::milliseconds election_timeout{400};
    std::chrono::milliseconds heartbeat{80};
    /// Seed of the random election timeouts.
    std::uint64_t seed = 0;
    /// No more voters are admitted than so many; 0 for no limit.
    std::size_t max_voters = 0;
    /// Where no more voters are admitted, one that is silent for so long is replaced by
    /// a keeper that holds everything.
    std::chrono::milliseconds replace_after{2000};
};

/// What a keeper found on its disk.
struct recovered_state
{
    hard_state hard;
    /// Index 0 with the first voters where there was no snapshot yet.
    log_snapshot snapshot;
    std::vector<log_entry> entries;
};

enum class keeper_role
{
    follower,
    pre_candidate,
    candidate,
    leader
};

/// What the driver must do, in the order of the members.
struct consensus_output
{
    /// May be sent before anything is written.
    std::vector<consensus_message> messages;
    /// Replaces state and log; written and synced first.
    std::optional<log_snapshot> install;
    /// To write; an entry replaces any entry at its index and all that follow.
    std::vector<log_entry> entries;
    std::optional<hard_state> hard;
    /// Sent only once all of the above is synced.
    std::vector<consensus_message> messages_after_sync;
    /// Accepted: to apply, once synced where this keeper leads.
    std::vector<log_entry> committed;
    /// Keepers that need a snapshot; see consensus::snapshot_for().
    std::vector<keeper_id> snapshot_receivers;

    bool has_writes() const { return install || hard || !entries.empty(); }
};

/// Where a proposal stands in the log. It was accepted if that index is applied with
/// that term.
struct log_entry_id
{
    control_index index;
    keeper_term term;
};

/// One keeper.
class consensus
{
public:
    consensus(consensus_options options, recovered_state recovered, steady_time now);

    /// Takes a message from another keeper.
    void step(const consensus_message& message, steady_time now);
    /// Lets time pass.
    void tick(steady_time now);
    /// Appends \p body if this keeper leads.
    std::optional<log_entry_id> propose(entry_body body);
    /// Hands leadership to the voter that holds most; does nothing if there is none.
    void transfer_leadership(steady_time now);

    /// Makes \p peer known; its messages are taken from now on.
    void add_peer(const keeper_id& peer, steady_time now);

    /// What is to be done since the last call.
    consensus_output take_output();
    /// The writes of the last output are durable.
    void mark_synced();
    /// The snapshot message for \p to, with \p state as of the last taken output.
    consensus_message make_snapshot_message(const keeper_id& to, std::string state) const;
    /// Meta data of a snapshot as of the last taken output.
    log_snapshot make_snapshot(std::string state) const;
    /// Forgets log entries up to \p index, which a durable snapshot covers.
    void compact(control_index index);

    keeper_role role() const noexcept { return role_; }
    keeper_term term() const noexcept { return hard_.term; }
    /// The leader it follows; empty if it hears none.
    keeper_id leader(steady_time now) const;
    control_index commit_index() const noexcept { return commit_; }
    control_index last_index() const noexcept { return log_.last_index(); }
    /// The voters as far as they are known to be accepted.
    voter_map voters() const { return log_.voters_at(commit_); }
    /// The voters whose admission a majority knows of. Only then may another disk be
    /// lost.
    voter_map settled_voters() const;
    /// Whether it may ask for votes.
    bool is_voter() const;
    bool is_transferring() const noexcept { return transfer_until_.has_value(); }
    /// When \p peer was last heard; nothing if never.
    std::optional<steady_time> last_contact(const keeper_id& peer) const;
    const consensus_log& log() const noexcept { return log_; }

private:
    // What a leader knows of another keeper.
    struct progress
    {
        keeper_incarnation incarnation;
        control_index match;
        control_index next;
        // What the keeper knows to be accepted.
        control_index commit;
        std::optional<steady_time> snapshot_sent;
        std::optional<steady_time> heard;
        steady_time sent;
    };

    void on(const consensus_message& message, const vote_request& request);
    void on(const consensus_message& message, const vote_response& response);
    void on(const consensus_message& message, const append_request& request);
    void on(const consensus_message& message, const append_response& response);
    void on(const consensus_message& message, const snapshot_request& request);
    void on(const consensus_message& message, const timeout_now& request);

    consensus_message make(const keeper_id& to, message_body body) const;
    bool is_sticky(const consensus_message& message) const;
    bool may_grant(const consensus_message& message, const vote_request& request) const;
    bool holds_quorum(const voter_map& agreeing) const;
    void become_follower(keeper_term term, keeper_id leader);
    void campaign(bool pre_vote, bool transfer);
    void become_leader();
    void rest_election_timer();
    void note_membership();
    void learn_accepted(const vote_request& request);

    log_entry_id append_own(entry_body body);
    void append_from_leader(const append_request& request);
    control_index retry_hint(control_index previous) const;
    void send_append(const keeper_id& to);
    void broadcast();
    void advance_commit();
    bool is_held_by_quorum(control_index index) const;
    void admit_if_complete(const keeper_id& id);
    std::optional<keeper_id> place_for(const keeper_id& id,
                                       const voter_map& voters) const;
    bool is_due(const keeper_id& id, const progress& peer) const;
    void check_quorum();
    void continue_transfer();

    consensus_options options_;
    std::minstd_rand random_;
    hard_state hard_;
    hard_state saved_hard_;
    consensus_log log_;
    keeper_role role_ = keeper_role::follower;
    keeper_id leader_;
    control_index commit_;
    control_index applied_;
    // First entry that no taken output held yet.
    control_index write_from_;
    // Last entry of the last taken output, and last durable one.
    control_index taken_;
    control_index durable_;
    control_index first_of_term_;
    voter_map votes_;
    std::map<keeper_id, progress> peers_;
    steady_time now_;
    steady_time leader_heard_;
    steady_time election_at_;
    steady_time heartbeat_at_;
    steady_time led_since_;
    std::optional<steady_time> transfer_until_;
    bool transfer_sent_ = false;
    bool broadcast_due_ = false;
    consensus_output output_;
};

} // namespace papayabridge

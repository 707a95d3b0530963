/// \file consensus.hpp
/// The keepers' consensus (Raft) as a state machine without I/O.
///
/// Its driver passes in messages and the time, takes the output, makes the output's
/// writes durable, sends its messages and applies the committed entries.

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
    /// All keepers of the group, including this one.
    std::vector<keeper_id> group;
    /// A follower starts an election after one to two of these without contact with a
    /// leader.
    std::chrono::milliseconds election_timeout{400};
    std::chrono::milliseconds heartbeat{80};
    /// Seed for the random election timeouts.
    std::uint64_t seed = 0;
    /// The maximum number of voters; 0 for no limit.
    std::size_t max_voters = 0;
    /// At the maximum number of voters, a voter without contact for this long is replaced
    /// by a keeper that is caught up.
    std::chrono::milliseconds replace_after{2000};
};

/// What a keeper read from its disk at its start.
struct recovered_state
{
    hard_state hard;
    /// If there was no snapshot yet: index 0 and the first voters.
    log_snapshot snapshot;
    std::vector<log_entry> entries;
};

/// The last committed entry that a leader told, or had itself, and when.
struct commit_notice
{
    control_index commit;
    steady_time at;
};

enum class keeper_role
{
    follower,
    pre_candidate,
    candidate,
    leader
};

/// What the driver must do, in the order of the data members.
struct consensus_output
{
    /// May be sent at once, before anything is written.
    std::vector<consensus_message> messages;
    /// A snapshot that replaces state and log; written and synced first.
    std::optional<log_snapshot> install;
    /// Entries to write. An entry replaces the one at its index and all that follow.
    std::vector<log_entry> entries;
    std::optional<hard_state> hard;
    /// May be sent only once all of the above is synced.
    std::vector<consensus_message> messages_after_sync;
    /// Committed entries to apply; on a leader only once all of the above is synced.
    std::vector<log_entry> committed;
    /// Keepers to send a snapshot to, see consensus::make_snapshot_message().
    std::vector<keeper_id> snapshot_receivers;

    bool has_writes() const { return install || hard || !entries.empty(); }
};

/// Identifies a proposed log entry. It is committed if the entry that is applied at this
/// index has this term.
struct log_entry_id
{
    control_index index;
    keeper_term term;
};

/// The consensus state of one keeper. Not thread-safe.
class consensus
{
public:
    consensus(consensus_options options, recovered_state recovered, steady_time now);

    /// Handles a message from another keeper.
    void step(const consensus_message& message, steady_time now);
    /// Advances the time; starts elections and sends heartbeats when they are due.
    void tick(steady_time now);
    /// Appends \p body to the log. Empty if this keeper does not lead or is transferring
    /// its leadership.
    std::optional<log_entry_id> propose(entry_body body);
    /// Transfers leadership to a voter that holds the whole log. Given up after one
    /// election timeout if there is none.
    void transfer_leadership(steady_time now);

    /// Stops leading or standing for election, as what this keeper decides cannot be made
    /// durable.
    void resign();

    /// Adds \p peer. Messages of unknown keepers are ignored.
    void add_peer(const keeper_id& peer, steady_time now);

    /// The output since the last call.
    consensus_output take_output();
    /// Messages and unwritten entries that the next output will hold. Grows while the
    /// writes of the last one are not finished.
    std::size_t pending_output() const;
    /// Records that the writes of the last output are durable.
    void mark_synced();
    /// A snapshot message to \p to; \p state is the state as of the last taken output.
    consensus_message make_snapshot_message(const keeper_id& to, std::string state) const;
    /// A snapshot of \p state, the state as of the last taken output.
    log_snapshot make_snapshot(std::string state) const;
    /// Removes the log entries up to \p index, which a durable snapshot contains.
    void compact(control_index index);

    keeper_role role() const noexcept { return role_; }
    keeper_term term() const noexcept { return hard_.term; }
    /// The current leader. Empty if this keeper knows none in its term or had no contact
    /// with a leader for two election timeouts.
    keeper_id leader(steady_time now) const;
    control_index commit_index() const noexcept { return commit_index_; }
    control_index last_index() const noexcept { return log_.last_index(); }
    /// Empty before the first message of a leader, and on a new leader until an entry of
    /// its term is committed.
    const std::optional<commit_notice>& last_commit_notice() const noexcept
    {
        return commit_notice_;
    }
    /// The voters after all entries known to be committed.
    voter_map voters() const { return log_.voters_at(commit_index_); }
    /// The voters whose admission a majority knows to be committed. Only once an
    /// admission is settled may another disk be lost.
    voter_map settled_voters() const;
    /// Whether this keeper is a voter and may start elections.
    bool is_voter() const;
    bool is_transferring() const noexcept { return transfer_deadline_.has_value(); }
    /// When the last message of \p peer arrived, or when add_peer() added it if none did.
    /// Empty if neither happened.
    std::optional<steady_time> last_contact(const keeper_id& peer) const;
    const consensus_log& log() const noexcept { return log_; }

private:
    // What a leader knows about another keeper.
    struct progress
    {
        keeper_incarnation incarnation;
        control_index match;
        control_index next;
        // Last entry that the keeper knows to be committed.
        control_index commit;
        std::optional<steady_time> snapshot_sent;
        std::optional<steady_time> last_contact;
        steady_time last_sent;
    };

    void handle(const consensus_message& message, const vote_request& request);
    void handle(const consensus_message& message, const vote_response& response);
    void handle(const consensus_message& message, const append_request& request);
    void handle(const consensus_message& message, const append_response& response);
    void handle(const consensus_message& message, const snapshot_request& request);
    void handle(const consensus_message& message, const timeout_now& request);

    consensus_message make_message(const keeper_id& to, message_body body) const;
    bool ignores_vote_request(const consensus_message& message) const;
    bool may_grant(const consensus_message& message, const vote_request& request) const;
    bool has_quorum(const voter_map& voters_agreeing) const;
    void become_follower(keeper_term term, keeper_id leader);
    void campaign(bool pre_vote, bool transfer);
    void become_leader();
    void reset_election_timer();
    void record_committed_membership();
    void adopt_committed_membership(const vote_request& request);

    log_entry_id append_own(entry_body body);
    void append_from_leader(const append_request& request);
    control_index retry_hint(control_index previous) const;
    void send_append(const keeper_id& to);
    void broadcast();
    void advance_commit();
    bool is_held_by_quorum(control_index index) const;
    void admit_if_caught_up(const keeper_id& id);
    std::optional<keeper_id> find_replaceable_voter(const keeper_id& id,
                                                    const voter_map& voters) const;
    bool should_contact(const keeper_id& id, const progress& peer) const;
    void check_quorum();
    void continue_transfer();

    consensus_options options_;
    std::minstd_rand random_;
    hard_state hard_;
    hard_state saved_hard_;
    consensus_log log_;
    keeper_role role_ = keeper_role::follower;
    keeper_id leader_;
    control_index commit_index_;
    control_index applied_index_;
    // First entry that was in no taken output yet.
    control_index first_unwritten_;
    // Last entry of the last taken output.
    control_index last_output_index_;
    // Last durable entry.
    control_index durable_index_;
    // The entry that this leader appended first in its term.
    control_index term_start_index_;
    voter_map votes_;
    std::map<keeper_id, progress> peers_;
    steady_time now_;
    steady_time last_leader_contact_;
    steady_time election_due_;
    steady_time heartbeat_due_;
    steady_time leader_since_;
    std::optional<commit_notice> commit_notice_;
    std::optional<steady_time> transfer_deadline_;
    bool transfer_sent_ = false;
    bool broadcast_due_ = false;
    consensus_output output_;
};

} // namespace papayabridge

/// \file consensus_messages.hpp
/// Entries of the keepers' log, and the messages that replicate it.

#pragma once

#include <map>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <string>
#include <variant>
#include <vector>

namespace papayabridge {

/// Term of a leader among the keepers.
using keeper_term = strong_count<struct keeper_term_tag>;
/// Identifies a keeper's disk: a random number, created at the first start on an empty
/// directory. A keeper that lost its disk counts as a different voter.
using keeper_incarnation = strong_count<struct keeper_incarnation_tag>;
/// The keepers that vote and count towards majorities.
using voter_map = std::map<keeper_id, keeper_incarnation>;

/// Appended by a new leader, to commit the entries of earlier terms.
struct no_operation
{
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

/// A command of control_state.hpp as JSON.
struct command_text
{
    std::string json;
    friend bool operator==(const command_text&, const command_text&) = default;
};

/// Makes this incarnation of \p id a voter, in place of any earlier incarnation.
struct admit_keeper
{
    keeper_id id;
    keeper_incarnation incarnation;
    /// The voter that it replaces; empty if it is added.
    keeper_id replaces;
    friend bool operator==(const admit_keeper&, const admit_keeper&) = default;
};

using entry_body = std::variant<no_operation, command_text, admit_keeper>;

/// One entry of the log.
struct log_entry
{
    control_index index;
    keeper_term term;
    entry_body body;
    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// What a keeper must keep on disk besides its log (Raft's persistent state).
struct hard_state
{
    keeper_term term;
    /// The keeper that it voted for in this term; empty if none.
    keeper_id voted_for;
    /// Index of the last change of the voters that it knows to be committed.
    control_index committed_membership;
    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// The state after applying all entries up to an index.
struct log_snapshot
{
    control_index index;
    keeper_term term;
    voter_map voters;
    /// The control state as JSON.
    std::string state;
};

/// Asks for a vote, or in a pre-vote whether one would be granted.
struct vote_request
{
    /// A pre-vote changes nothing at the voter.
    bool pre_vote = false;
    /// The leader is transferring its leadership to the candidate, so voters do not wait
    /// for an election timeout.
    bool transfer = false;
    control_index last_index;
    keeper_term last_term;
    /// The incarnation of the receiver that is asked; any other incarnation does not
    /// vote.
    keeper_incarnation voter;
    /// The last change of the voters that the candidate knows to be committed.
    control_index membership_index;
    keeper_term membership_term;
};

struct vote_response
{
    bool pre_vote = false;
    bool granted = false;
};

/// Entries to append; without entries, a heartbeat.
struct append_request
{
    control_index previous_index;
    keeper_term previous_term;
    control_index commit;
    std::vector<log_entry> entries;
};

struct append_response
{
    bool matched = false;
    /// If matched, the logs are equal up to this index. If not, the leader retries with
    /// the entries after it.
    control_index index;
    /// Last entry that the sender knows to be committed.
    control_index commit;
};

struct snapshot_request
{
    log_snapshot snapshot;
};

/// Asks the receiver to start an election at once, so that it takes over leadership.
struct timeout_now
{
};

using message_body = std::variant<vote_request, vote_response, append_request,
                                  append_response, snapshot_request, timeout_now>;

/// A message between keepers.
struct consensus_message
{
    keeper_id from;
    keeper_incarnation from_incarnation;
    keeper_id to;
    /// Term of the sender; of a pre-vote, the term that the candidate would have.
    keeper_term term;
    message_body body;
};

} // namespace papayabridge

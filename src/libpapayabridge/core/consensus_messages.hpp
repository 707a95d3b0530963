/// \file consensus_messages.hpp
/// Entries of the keepers' log and the messages by which keepers replicate it.

#pragma once

#include <map>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <string>
#include <variant>
#include <vector>

namespace papayabridge {

/// Term of a leader of the keepers.
using keeper_term = strong_count<struct keeper_term_tag>;
/// Names the disk of a keeper: random, kept from the first start on an empty folder. A
/// keeper that lost its disk is another voter.
using keeper_incarnation = strong_count<struct keeper_incarnation_tag>;
/// The keepers that vote and count.
using voter_map = std::map<keeper_id, keeper_incarnation>;

/// Appended by a new leader; commits what earlier leaders left.
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

/// Makes \p id with this incarnation a voter, in place of any earlier incarnation.
struct admit_keeper
{
    keeper_id id;
    keeper_incarnation incarnation;
    /// The voter that it takes the place of; empty if it is one more.
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

/// What a keeper must not forget besides its log.
struct hard_state
{
    keeper_term term;
    /// Whom it voted for in this term; empty if nobody.
    keeper_id voted_for;
    /// The latest change of voters that it knows to be accepted.
    control_index committed_membership;
    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// The state after all entries up to an index.
struct log_snapshot
{
    control_index index;
    keeper_term term;
    voter_map voters;
    /// The snapshot of the control state as JSON.
    std::string state;
};

/// Asks for a vote, or whether one would be given.
struct vote_request
{
    /// Only asks; changes nothing at the voter.
    bool pre_vote = false;
    /// The leader asked the candidate to take over, so voters need not wait.
    bool transfer = false;
    control_index last_index;
    keeper_term last_term;
    /// The incarnation that is asked; another one of the same id does not vote.
    keeper_incarnation voter;
    /// The latest change of voters that the candidate knows to be accepted.
    control_index membership_index;
    keeper_term membership_term;
};

struct vote_response
{
    bool pre_vote = false;
    bool granted = false;
};

/// Entries, or none as a heartbeat.
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
    /// If matched: the logs are equal up to here. If not: try after this index.
    control_index index;
    /// Entries up to here are known to be accepted.
    control_index commit;
};

struct snapshot_request
{
    log_snapshot snapshot;
};

/// The leader hands its leadership to the receiver.
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

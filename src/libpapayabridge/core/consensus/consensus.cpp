// Elections and the output of the state machine. The log's replication is in
// consensus_replication.cpp.

#include "consensus.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// The first election after a start is due after the usual timeout divided by this.
constexpr int first_election_divisor = 4;

} // namespace

consensus::consensus(consensus_options options, recovered_state recovered,
                     steady_time now)
    : options_(std::move(options)),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      hard_(recovered.hard), saved_hard_(recovered.hard),
      log_(recovered.snapshot.index, recovered.snapshot.term, recovered.snapshot.voters),
      commit_index_(recovered.snapshot.index), applied_index_(commit_index_), now_(now),
      last_leader_contact_(now - options_.election_timeout), heartbeat_due_(now),
      leader_since_(now)
{
    for (auto& entry : recovered.entries) {
        if (entry.index == log_.last_index().next()) {
            log_.append(std::move(entry));
        }
    }
    auto committed_change = std::min(hard_.committed_membership, log_.last_index());
    commit_index_ = std::max(commit_index_, committed_change);
    last_output_index_ = log_.last_index();
    durable_index_ = last_output_index_;
    first_unwritten_ = last_output_index_.next();
    for (const auto& id : options_.group) {
        if (id != options_.self) {
            peers_[id].next = log_.last_index().next();
        }
    }
    reset_election_timer();
    // A keeper that starts follows no leader that it must wait for, and a pre-vote
    // precedes a higher term.
    election_due_ = now_ + (election_due_ - now_) / first_election_divisor;
}

void consensus::reset_election_timer()
{
    auto base = options_.election_timeout.count();
    std::uniform_int_distribution<std::int64_t> extra(0, base);
    election_due_ = now_ + std::chrono::milliseconds(base + extra(random_));
}

consensus_message consensus::make_message(const keeper_id& to, message_body body) const
{
    return {.from = options_.self,
            .from_incarnation = options_.incarnation,
            .to = to,
            .term = hard_.term,
            .body = std::move(body)};
}

bool consensus::is_voter() const
{
    auto voters = log_.voters_at(log_.last_index());
    auto found = voters.find(options_.self);
    return found != voters.end() && found->second == options_.incarnation;
}

keeper_id consensus::leader(steady_time now) const
{
    if (role_ == keeper_role::leader) {
        return options_.self;
    }
    return now - last_leader_contact_ < 2 * options_.election_timeout ? leader_
                                                                      : keeper_id();
}

void consensus::add_peer(const keeper_id& peer, steady_time now)
{
    if (peer == options_.self || peers_.count(peer) != 0) {
        return;
    }
    peers_[peer] = progress{.next = log_.last_index().next(), .last_contact = now};
}

std::optional<steady_time> consensus::last_contact(const keeper_id& peer) const
{
    auto found = peers_.find(peer);
    return found == peers_.end() ? std::nullopt : found->second.last_contact;
}

// While the last change of the voters may be uncommitted, a majority both of the voters
// before it and of those after it is needed. Otherwise an old incarnation that comes back
// could form a second majority beside the new one.
bool consensus::has_quorum(const voter_map& voters_agreeing) const
{
    auto sets = log_.active_voters(commit_index_);
    return std::all_of(sets.begin(), sets.end(), [&](const voter_map& voters) {
        auto count = std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
            auto found = voters_agreeing.find(voter.first);
            return found != voters_agreeing.end() && found->second == voter.second;
        });
        return !voters.empty() &&
               static_cast<std::size_t>(count) >= majority_of(voters.size());
    });
}

void consensus::become_follower(keeper_term term, keeper_id leader)
{
    if (term > hard_.term) {
        hard_.term = term;
        hard_.voted_for = {};
    }
    if (role_ != keeper_role::follower) {
        role_ = keeper_role::follower;
        reset_election_timer();
    }
    leader_ = std::move(leader);
    transfer_deadline_.reset();
    votes_.clear();
}

void consensus::resign()
{
    if (role_ != keeper_role::follower) {
        become_follower(hard_.term, {});
    }
}

void consensus::tick(steady_time now)
{
    now_ = std::max(now_, now);
    if (role_ == keeper_role::leader) {
        check_quorum();
        continue_transfer();
    }
    if (role_ == keeper_role::leader && commit_index_ >= term_start_index_) {
        commit_notice_ = {.commit = commit_index_, .at = now_};
    }
    if (role_ == keeper_role::leader && now_ >= heartbeat_due_) {
        heartbeat_due_ = now_ + options_.heartbeat;
        broadcast();
    }
    if (role_ != keeper_role::leader && now_ >= election_due_) {
        reset_election_timer();
        if (is_voter()) {
            campaign(true, false);
        }
    }
}

void consensus::campaign(bool pre_vote, bool transfer)
{
    role_ = pre_vote ? keeper_role::pre_candidate : keeper_role::candidate;
    leader_ = {};
    votes_ = {{options_.self, options_.incarnation}};
    auto candidate_term = hard_.term.next();
    if (!pre_vote) {
        hard_.term = candidate_term;
        hard_.voted_for = options_.self;
    }
    voter_map recipients;
    for (const auto& voters : log_.active_voters(commit_index_)) {
        recipients.insert(voters.begin(), voters.end());
    }
    for (const auto& [id, incarnation] : recipients) {
        if (id == options_.self) {
            continue;
        }
        vote_request request{.pre_vote = pre_vote,
                             .transfer = transfer,
                             .last_index = log_.last_index(),
                             .last_term = log_.last_term(),
                             .voter = incarnation,
                             .membership_index = hard_.committed_membership};
        request.membership_term =
            log_.term_at(request.membership_index).value_or(keeper_term());
        auto message = make_message(id, request);
        message.term = candidate_term;
        // The candidate's vote for itself must be durable before it asks for others.
        output_.messages_after_sync.push_back(std::move(message));
    }
    if (has_quorum(votes_)) {
        if (pre_vote) {
            campaign(false, false);
        } else {
            become_leader();
        }
    }
}

void consensus::become_leader()
{
    role_ = keeper_role::leader;
    leader_ = options_.self;
    leader_since_ = now_;
    heartbeat_due_ = now_ + options_.heartbeat;
    transfer_deadline_.reset();
    for (auto& [id, peer] : peers_) {
        auto contact = peer.last_contact;
        peer = progress{.next = log_.last_index().next(), .last_contact = contact};
    }
    term_start_index_ = append_own(no_operation{}).index;
    broadcast_due_ = true;
}

// Vote requests are ignored while there is contact with a leader, so that a keeper that
// was partitioned cannot depose it.
bool consensus::ignores_vote_request(const consensus_message& message) const
{
    const auto* request = std::get_if<vote_request>(&message.body);
    if (request == nullptr || request->transfer) {
        return false;
    }
    return role_ == keeper_role::leader ||
           (!leader_.empty() && now_ - last_leader_contact_ < options_.election_timeout);
}

void consensus::step(const consensus_message& message, steady_time now)
{
    now_ = std::max(now_, now);
    if (message.to != options_.self || peers_.count(message.from) == 0) {
        return;
    }
    peers_[message.from].last_contact = now_;
    if (ignores_vote_request(message)) {
        return;
    }
    const auto* request = std::get_if<vote_request>(&message.body);
    const auto* response = std::get_if<vote_response>(&message.body);
    bool has_prospective_term =
        (request != nullptr && request->pre_vote) ||
        (response != nullptr && response->pre_vote && response->granted);
    bool for_other_incarnation = request != nullptr && !request->pre_vote &&
                                 request->voter != options_.incarnation;
    if (for_other_incarnation) {
        return;
    }
    if (message.term > hard_.term && !has_prospective_term) {
        become_follower(message.term, {});
    }
    std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

bool consensus::may_grant(const consensus_message& message,
                          const vote_request& request) const
{
    if (request.voter != options_.incarnation || message.term < hard_.term) {
        return false;
    }
    bool up_to_date =
        request.last_term > log_.last_term() || (request.last_term == log_.last_term() &&
                                                 request.last_index >= log_.last_index());
    if (request.pre_vote) {
        return up_to_date && message.term > hard_.term;
    }
    bool can_vote = hard_.voted_for.empty() || hard_.voted_for == message.from;
    return up_to_date && can_vote;
}

// The leader that knew that a change of the voters is committed may be lost. A candidate
// that knows it informs the others, which hold the entry but would still require votes of
// the voters before it.
void consensus::adopt_committed_membership(const vote_request& request)
{
    if (log_.term_at(request.membership_index) == request.membership_term) {
        commit_index_ = std::max(commit_index_, request.membership_index);
    }
}

void consensus::handle(const consensus_message& message, const vote_request& request)
{
    adopt_committed_membership(request);
    bool granted = may_grant(message, request);
    if (granted && !request.pre_vote) {
        hard_.voted_for = message.from;
        reset_election_timer();
    }
    vote_response response{.pre_vote = request.pre_vote, .granted = granted};
    auto reply = make_message(message.from, response);
    if (granted) {
        reply.term = message.term;
    }
    output_.messages_after_sync.push_back(std::move(reply));
}

void consensus::handle(const consensus_message& message, const vote_response& response)
{
    auto expected =
        response.pre_vote ? keeper_role::pre_candidate : keeper_role::candidate;
    auto candidate_term = response.pre_vote ? hard_.term.next() : hard_.term;
    if (role_ != expected || !response.granted || message.term != candidate_term) {
        return;
    }
    votes_[message.from] = message.from_incarnation;
    if (!has_quorum(votes_)) {
        return;
    }
    if (response.pre_vote) {
        campaign(false, false);
    } else {
        become_leader();
    }
}

void consensus::handle(const consensus_message& message, const timeout_now&)
{
    if (message.term == hard_.term && role_ != keeper_role::leader && is_voter()) {
        reset_election_timer();
        campaign(false, true);
    }
}

// Persisted, so that after a restart no votes are needed of the voters before a committed
// change, some of which may be lost for good.
void consensus::record_committed_membership()
{
    auto change = log_.last_membership_change();
    if (change <= commit_index_ && change > hard_.committed_membership) {
        hard_.committed_membership = change;
    }
}

consensus_output consensus::take_output()
{
    if (broadcast_due_ && role_ == keeper_role::leader) {
        broadcast();
    }
    broadcast_due_ = false;
    record_committed_membership();
    if (hard_ != saved_hard_) {
        output_.hard = hard_;
        saved_hard_ = hard_;
        // No message may carry a term that would be lost in a restart.
        std::move(output_.messages.begin(), output_.messages.end(),
                  std::back_inserter(output_.messages_after_sync));
        output_.messages.clear();
    }
    output_.entries = log_.slice(first_unwritten_, log_.last_index().value());
    last_output_index_ = log_.last_index();
    first_unwritten_ = last_output_index_.next();
    if (output_.install) {
        applied_index_ = std::max(applied_index_, output_.install->index);
    }
    for (auto index = applied_index_.next(); index <= commit_index_; index = index.next())
    {
        output_.committed.push_back(log_.at(index));
        applied_index_ = index;
    }
    return std::exchange(output_, {});
}

std::size_t consensus::pending_output() const
{
    auto unwritten = log_.last_index().next().value() - first_unwritten_.value();
    return unwritten + output_.messages.size() + output_.messages_after_sync.size();
}

void consensus::mark_synced()
{
    // Entries that were replaced while they were being written are not durable.
    durable_index_ =
        std::min(last_output_index_, control_index(first_unwritten_.value() - 1));
    if (role_ == keeper_role::leader) {
        advance_commit();
    }
}

voter_map consensus::settled_voters() const
{
    auto change = log_.last_membership_change();
    if (role_ != keeper_role::leader || change > commit_index_) {
        return voters();
    }
    voter_map informed{{options_.self, options_.incarnation}};
    for (const auto& [id, peer] : peers_) {
        if (peer.commit >= change) {
            informed[id] = peer.incarnation;
        }
    }
    auto before = control_index(change.value() == 0 ? 0 : change.value() - 1);
    return has_quorum(informed) ? log_.voters_at(change) : log_.voters_at(before);
}

log_snapshot consensus::make_snapshot(std::string state) const
{
    return {.index = applied_index_,
            .term = log_.term_at(applied_index_).value_or(keeper_term()),
            .voters = log_.voters_at(applied_index_),
            .state = std::move(state)};
}

consensus_message consensus::make_snapshot_message(const keeper_id& to,
                                                   std::string state) const
{
    return make_message(to,
                        snapshot_request{.snapshot = make_snapshot(std::move(state))});
}

void consensus::compact(control_index index)
{
    log_.compact(std::min(index, applied_index_));
}

} // namespace papayabridge

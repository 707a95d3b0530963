// Elections, and the output of the state machine. consensus_replication.cpp has the log.

#include "consensus.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// Part of the usual wait after which a keeper that starts asks for votes.
constexpr int first_election_part = 4;

} // namespace

consensus::consensus(consensus_options options, recovered_state recovered,
                     steady_time now)
    : options_(std::move(options)),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      hard_(recovered.hard), saved_hard_(recovered.hard),
      log_(recovered.snapshot.index, recovered.snapshot.term, recovered.snapshot.voters),
      commit_(recovered.snapshot.index), applied_(commit_), now_(now),
      leader_heard_(now - options_.election_timeout), heartbeat_at_(now), led_since_(now)
{
    for (auto& entry : recovered.entries) {
        if (entry.index == log_.last_index().next()) {
            log_.append(std::move(entry));
        }
    }
    auto accepted = std::min(hard_.committed_membership, log_.last_index());
    commit_ = std::max(commit_, accepted);
    taken_ = log_.last_index();
    durable_ = taken_;
    write_from_ = taken_.next();
    for (const auto& id : options_.group) {
        if (id != options_.self) {
            peers_[id].next = log_.last_index().next();
        }
    }
    rest_election_timer();
    // A keeper that starts has heard no leader that it would have to wait for, and asks
    // before it takes a higher term.
    election_at_ = now_ + (election_at_ - now_) / first_election_part;
}

void consensus::rest_election_timer()
{
    auto base = options_.election_timeout.count();
    std::uniform_int_distribution<std::int64_t> extra(0, base);
    election_at_ = now_ + std::chrono::milliseconds(base + extra(random_));
}

consensus_message consensus::make(const keeper_id& to, message_body body) const
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
    return now - leader_heard_ < 2 * options_.election_timeout ? leader_ : keeper_id();
}

void consensus::add_peer(const keeper_id& peer, steady_time now)
{
    if (peer == options_.self || peers_.count(peer) != 0) {
        return;
    }
    peers_[peer] = progress{.next = log_.last_index().next(), .heard = now};
}

std::optional<steady_time> consensus::last_contact(const keeper_id& peer) const
{
    auto found = peers_.find(peer);
    return found == peers_.end() ? std::nullopt : found->second.heard;
}

// A change of voters that may not be accepted yet needs a majority of the voters before
// it and of those after it, so that an old incarnation that comes back cannot form a
// second majority beside the new one.
bool consensus::holds_quorum(const voter_map& agreeing) const
{
    auto sets = log_.active_voters(commit_);
    return std::all_of(sets.begin(), sets.end(), [&](const voter_map& voters) {
        auto count = std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
            auto found = agreeing.find(voter.first);
            return found != agreeing.end() && found->second == voter.second;
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
        rest_election_timer();
    }
    leader_ = std::move(leader);
    transfer_until_.reset();
    votes_.clear();
}

void consensus::tick(steady_time now)
{
    now_ = std::max(now_, now);
    if (role_ == keeper_role::leader) {
        check_quorum();
        continue_transfer();
    }
    if (role_ == keeper_role::leader && now_ >= heartbeat_at_) {
        heartbeat_at_ = now_ + options_.heartbeat;
        broadcast();
    }
    if (role_ != keeper_role::leader && now_ >= election_at_) {
        rest_election_timer();
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
    auto asked_term = hard_.term.next();
    if (!pre_vote) {
        hard_.term = asked_term;
        hard_.voted_for = options_.self;
    }
    voter_map asked;
    for (const auto& voters : log_.active_voters(commit_)) {
        asked.insert(voters.begin(), voters.end());
    }
    for (const auto& [id, incarnation] : asked) {
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
        auto message = make(id, request);
        message.term = asked_term;
        // The vote for itself is durable before anybody is asked.
        output_.messages_after_sync.push_back(std::move(message));
    }
    if (holds_quorum(votes_)) {
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
    led_since_ = now_;
    heartbeat_at_ = now_ + options_.heartbeat;
    transfer_until_.reset();
    for (auto& [id, peer] : peers_) {
        auto heard = peer.heard;
        peer = progress{.next = log_.last_index().next(), .heard = heard};
    }
    first_of_term_ = append_own(no_operation{}).index;
    broadcast_due_ = true;
}

// While a leader is heard, requests for votes are not looked at, so that a keeper that
// was cut off cannot depose it.
bool consensus::is_sticky(const consensus_message& message) const
{
    const auto* request = std::get_if<vote_request>(&message.body);
    if (request == nullptr || request->transfer) {
        return false;
    }
    return role_ == keeper_role::leader ||
           (!leader_.empty() && now_ - leader_heard_ < options_.election_timeout);
}

void consensus::step(const consensus_message& message, steady_time now)
{
    now_ = std::max(now_, now);
    if (message.to != options_.self || peers_.count(message.from) == 0) {
        return;
    }
    peers_[message.from].heard = now_;
    if (is_sticky(message)) {
        return;
    }
    const auto* vote = std::get_if<vote_request>(&message.body);
    const auto* given = std::get_if<vote_response>(&message.body);
    bool asks_only = (vote != nullptr && vote->pre_vote) ||
                     (given != nullptr && given->pre_vote && given->granted);
    bool foreign =
        vote != nullptr && !vote->pre_vote && vote->voter != options_.incarnation;
    if (foreign) {
        return;
    }
    if (message.term > hard_.term && !asks_only) {
        become_follower(message.term, {});
    }
    std::visit([&](const auto& body) { on(message, body); }, message.body);
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
    bool free = hard_.voted_for.empty() || hard_.voted_for == message.from;
    return up_to_date && free;
}

// The leader that knew of an accepted change of voters may be lost. Whoever else knows
// tells the others, which hold the entry but would still ask the voters before it.
void consensus::learn_accepted(const vote_request& request)
{
    if (log_.term_at(request.membership_index) == request.membership_term) {
        commit_ = std::max(commit_, request.membership_index);
    }
}

void consensus::on(const consensus_message& message, const vote_request& request)
{
    learn_accepted(request);
    bool granted = may_grant(message, request);
    if (granted && !request.pre_vote) {
        hard_.voted_for = message.from;
        rest_election_timer();
    }
    vote_response response{.pre_vote = request.pre_vote, .granted = granted};
    auto answer = make(message.from, response);
    if (granted) {
        answer.term = message.term;
    }
    output_.messages_after_sync.push_back(std::move(answer));
}

void consensus::on(const consensus_message& message, const vote_response& response)
{
    auto expected =
        response.pre_vote ? keeper_role::pre_candidate : keeper_role::candidate;
    auto asked_term = response.pre_vote ? hard_.term.next() : hard_.term;
    if (role_ != expected || !response.granted || message.term != asked_term) {
        return;
    }
    votes_[message.from] = message.from_incarnation;
    if (!holds_quorum(votes_)) {
        return;
    }
    if (response.pre_vote) {
        campaign(false, false);
    } else {
        become_leader();
    }
}

void consensus::on(const consensus_message& message, const timeout_now&)
{
    if (message.term == hard_.term && role_ != keeper_role::leader && is_voter()) {
        rest_election_timer();
        campaign(false, true);
    }
}

// Kept, so that after a restart the voters before an accepted change, of which some may
// be lost for good, need not be asked again.
void consensus::note_membership()
{
    auto change = log_.last_membership();
    if (change <= commit_ && change > hard_.committed_membership) {
        hard_.committed_membership = change;
    }
}

consensus_output consensus::take_output()
{
    if (broadcast_due_ && role_ == keeper_role::leader) {
        broadcast();
    }
    broadcast_due_ = false;
    note_membership();
    if (hard_ != saved_hard_) {
        output_.hard = hard_;
        saved_hard_ = hard_;
        // No message may show a term that a restart could forget.
        std::move(output_.messages.begin(), output_.messages.end(),
                  std::back_inserter(output_.messages_after_sync));
        output_.messages.clear();
    }
    output_.entries = log_.slice(write_from_, log_.last_index().value());
    taken_ = log_.last_index();
    write_from_ = taken_.next();
    if (output_.install) {
        applied_ = std::max(applied_, output_.install->index);
    }
    for (auto index = applied_.next(); index <= commit_; index = index.next()) {
        output_.committed.push_back(log_.at(index));
        applied_ = index;
    }
    return std::exchange(output_, {});
}

void consensus::mark_synced()
{
    // What was replaced while it was being written is not durable.
    durable_ = std::min(taken_, control_index(write_from_.value() - 1));
    if (role_ == keeper_role::leader) {
        advance_commit();
    }
}

voter_map consensus::settled_voters() const
{
    auto change = log_.last_membership();
    if (role_ != keeper_role::leader || change > commit_) {
        return voters();
    }
    voter_map knowing{{options_.self, options_.incarnation}};
    for (const auto& [id, peer] : peers_) {
        if (peer.commit >= change) {
            knowing[id] = peer.incarnation;
        }
    }
    auto before = control_index(change.value() == 0 ? 0 : change.value() - 1);
    return holds_quorum(knowing) ? log_.voters_at(change) : log_.voters_at(before);
}

log_snapshot consensus::make_snapshot(std::string state) const
{
    return {.index = applied_,
            .term = log_.term_at(applied_).value_or(keeper_term()),
            .voters = log_.voters_at(applied_),
            .state = std::move(state)};
}

consensus_message consensus::make_snapshot_message(const keeper_id& to,
                                                   std::string state) const
{
    return make(to, snapshot_request{.snapshot = make_snapshot(std::move(state))});
}

void consensus::compact(control_index index)
{
    log_.compact(std::min(index, applied_));
}

} // namespace papayabridge

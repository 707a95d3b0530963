// Log replication, snapshots, admission of voters and leadership transfer.

#include "consensus.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr std::size_t entries_per_message = 256;
// A snapshot is sent again after this many election timeouts without an answer.
constexpr int snapshot_retry_timeouts = 5;
// A keeper that is not a voter and had no contact for this long is contacted only at the
// interval below.
constexpr std::chrono::seconds silent_after{10};
constexpr std::chrono::seconds silent_retry_interval{2};

} // namespace

std::optional<log_entry_id> consensus::propose(entry_body body)
{
    if (role_ != keeper_role::leader || is_transferring()) {
        return std::nullopt;
    }
    return append_own(std::move(body));
}

log_entry_id consensus::append_own(entry_body body)
{
    log_entry entry{
        .index = log_.last_index().next(), .term = hard_.term, .body = std::move(body)};
    log_entry_id place{.index = entry.index, .term = entry.term};
    log_.append(std::move(entry));
    broadcast_due_ = true;
    return place;
}

// A keeper that is not a voter and had no contact for long is probably gone for good.
bool consensus::should_contact(const keeper_id& id, const progress& peer) const
{
    auto voters = log_.voters_at(log_.last_index());
    bool has_no_contact = !peer.last_contact || now_ - *peer.last_contact > silent_after;
    return voters.count(id) != 0 || !has_no_contact ||
           now_ - peer.last_sent > silent_retry_interval;
}

void consensus::broadcast()
{
    for (const auto& [id, peer] : peers_) {
        if (should_contact(id, peer)) {
            send_append(id);
        }
    }
}

void consensus::send_append(const keeper_id& to)
{
    auto& peer = peers_[to];
    peer.last_sent = now_;
    auto previous = control_index(peer.next.value() - 1);
    auto previous_term = log_.term_at(previous);
    if (!previous_term) {
        auto retry_after = snapshot_retry_timeouts * options_.election_timeout;
        if (!peer.snapshot_sent || now_ - *peer.snapshot_sent > retry_after) {
            peer.snapshot_sent = now_;
            output_.snapshot_receivers.push_back(to);
        }
        // Serves as a heartbeat; the receiver's log does not match it.
        previous = log_.last_index();
        previous_term = log_.last_term();
    }
    append_request request{.previous_index = previous,
                           .previous_term = *previous_term,
                           .commit = commit_index_};
    if (previous.next() == peer.next) {
        request.entries = log_.slice(peer.next, entries_per_message);
        peer.next = control_index(peer.next.value() + request.entries.size());
    }
    output_.messages.push_back(make_message(to, std::move(request)));
}

void consensus::handle(const consensus_message& message, const append_request& request)
{
    append_response response;
    if (message.term < hard_.term) {
        output_.messages_after_sync.push_back(make_message(message.from, response));
        return;
    }
    become_follower(message.term, message.from);
    last_leader_contact_ = now_;
    commit_notice_ = {.commit = request.commit, .at = now_};
    reset_election_timer();
    auto held = log_.term_at(request.previous_index);
    // Committed entries are equal in every log.
    bool is_committed = request.previous_index <= commit_index_;
    if (is_committed || (held && *held == request.previous_term)) {
        append_from_leader(request);
        response.matched = true;
        response.index =
            control_index(request.previous_index.value() + request.entries.size());
        response.index = std::max(response.index, commit_index_);
        commit_index_ = std::max(commit_index_, std::min(request.commit, response.index));
    } else {
        response.index = retry_hint(request.previous_index);
    }
    response.commit = commit_index_;
    output_.messages_after_sync.push_back(make_message(message.from, response));
}

void consensus::append_from_leader(const append_request& request)
{
    for (const auto& entry : request.entries) {
        auto held = log_.term_at(entry.index);
        if (entry.index <= commit_index_ || (held && *held == entry.term)) {
            continue;
        }
        if (held) {
            log_.truncate(entry.index);
            first_unwritten_ = std::min(first_unwritten_, entry.index);
            durable_index_ =
                std::min(durable_index_, control_index(entry.index.value() - 1));
        }
        log_.append(entry);
    }
}

// Skips the whole term that differs, instead of one entry per message.
control_index consensus::retry_hint(control_index previous) const
{
    if (previous > log_.last_index()) {
        return log_.last_index();
    }
    auto differing = log_.term_at(previous);
    auto hint = previous;
    while (hint > commit_index_ && log_.term_at(hint) == differing) {
        hint = control_index(hint.value() - 1);
    }
    return hint;
}

void consensus::handle(const consensus_message& message, const append_response& response)
{
    if (role_ != keeper_role::leader || message.term != hard_.term) {
        return;
    }
    auto& peer = peers_[message.from];
    if (peer.incarnation != message.from_incarnation) {
        auto contact = peer.last_contact;
        peer = progress{.incarnation = message.from_incarnation,
                        .next = log_.last_index().next(),
                        .last_contact = contact};
    }
    if (!response.matched) {
        bool behind = response.index.next() < peer.next;
        if (behind && !log_.term_at(response.index)) {
            peer.next = response.index.next();
        } else if (behind) {
            peer.next = std::max(peer.match, response.index).next();
        }
        if (behind) {
            send_append(message.from);
        }
        return;
    }
    peer.snapshot_sent.reset();
    peer.commit = std::max(peer.commit, response.commit);
    peer.match = std::max(peer.match, std::min(response.index, log_.last_index()));
    peer.next = std::max(peer.next, peer.match.next());
    advance_commit();
    admit_if_caught_up(message.from);
    if (peer.next <= log_.last_index()) {
        send_append(message.from);
    }
}

void consensus::handle(const consensus_message& message, const snapshot_request& request)
{
    if (message.term < hard_.term) {
        return;
    }
    become_follower(message.term, message.from);
    last_leader_contact_ = now_;
    commit_notice_ = {.commit = request.snapshot.index, .at = now_};
    reset_election_timer();
    const auto& snapshot = request.snapshot;
    append_response response{.matched = true, .index = commit_index_};
    if (log_.term_at(snapshot.index) == snapshot.term) {
        // The log already holds the snapshot's entries. Later entries are kept, as the
        // leader may have counted them.
        commit_index_ = std::max(commit_index_, snapshot.index);
        response.index = std::max(snapshot.index, commit_index_);
    } else if (snapshot.index > commit_index_) {
        log_ = consensus_log(snapshot.index, snapshot.term, snapshot.voters);
        commit_index_ = snapshot.index;
        durable_index_ = snapshot.index;
        first_unwritten_ = snapshot.index.next();
        output_.install = snapshot;
        response.index = snapshot.index;
    }
    response.commit = commit_index_;
    output_.messages_after_sync.push_back(make_message(message.from, response));
}

bool consensus::is_held_by_quorum(control_index index) const
{
    voter_map holding;
    if (durable_index_ >= index) {
        holding[options_.self] = options_.incarnation;
    }
    for (const auto& [id, peer] : peers_) {
        if (peer.match >= index) {
            holding[id] = peer.incarnation;
        }
    }
    return has_quorum(holding);
}

// Entries of earlier terms are committed only together with one of this term.
void consensus::advance_commit()
{
    auto before = commit_index_;
    auto candidate = std::max(commit_index_.next(), term_start_index_);
    while (candidate <= log_.last_index() && is_held_by_quorum(candidate)) {
        commit_index_ = candidate;
        candidate = candidate.next();
    }
    if (commit_index_ != before) {
        broadcast_due_ = true;
    }
}

void consensus::admit_if_caught_up(const keeper_id& id)
{
    const auto& peer = peers_[id];
    auto voters = log_.voters_at(log_.last_index());
    auto found = voters.find(id);
    bool is_admitted = found != voters.end() && found->second == peer.incarnation;
    bool is_settled = commit_index_ >= term_start_index_ &&
                      log_.last_membership_change() <= commit_index_;
    if (is_admitted || !is_settled || peer.match < commit_index_ || is_transferring()) {
        return;
    }
    auto replaced = find_replaceable_voter(id, voters);
    if (replaced) {
        append_own(admit_keeper{
            .id = id, .incarnation = peer.incarnation, .replaces = *replaced});
    }
}

// The voter that \p id may replace: an empty id if it need not replace one, nullopt if it
// cannot become a voter now.
std::optional<keeper_id> consensus::find_replaceable_voter(const keeper_id& id,
                                                           const voter_map& voters) const
{
    bool has_room = options_.max_voters == 0 || voters.size() < options_.max_voters;
    if (voters.count(id) != 0 || has_room) {
        return keeper_id();
    }
    for (const auto& [voter, incarnation] : voters) {
        if (voter == options_.self) {
            continue;
        }
        auto found = peers_.find(voter);
        auto contact = found == peers_.end() ? std::nullopt : found->second.last_contact;
        auto silent_since = std::max(contact.value_or(leader_since_), leader_since_);
        if (now_ - silent_since > options_.replace_after) {
            return voter;
        }
    }
    return std::nullopt;
}

void consensus::check_quorum()
{
    if (now_ - leader_since_ < options_.election_timeout) {
        return;
    }
    voter_map reachable{{options_.self, options_.incarnation}};
    for (const auto& [id, peer] : peers_) {
        if (peer.last_contact && now_ - *peer.last_contact < options_.election_timeout) {
            reachable[id] = peer.incarnation;
        }
    }
    if (!has_quorum(reachable)) {
        become_follower(hard_.term, {});
    }
}

void consensus::transfer_leadership(steady_time now)
{
    now_ = std::max(now_, now);
    if (role_ != keeper_role::leader || is_transferring()) {
        return;
    }
    transfer_deadline_ = now_ + options_.election_timeout;
    transfer_sent_ = false;
    continue_transfer();
}

void consensus::continue_transfer()
{
    if (!transfer_deadline_) {
        return;
    }
    if (now_ > *transfer_deadline_) {
        transfer_deadline_.reset();
        return;
    }
    auto voters = log_.voters_at(commit_index_);
    for (const auto& [id, peer] : peers_) {
        auto found = voters.find(id);
        bool votes = found != voters.end() && found->second == peer.incarnation;
        if (!transfer_sent_ && votes && peer.match == log_.last_index()) {
            transfer_sent_ = true;
            output_.messages.push_back(make_message(id, timeout_now{}));
        }
    }
}

} // namespace papayabridge

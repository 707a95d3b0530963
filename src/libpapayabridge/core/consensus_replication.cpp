// Replication of the log, snapshots, admission of keepers and transfer of leadership.

#include "consensus.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr std::size_t entries_per_message = 256;
// A snapshot that is not answered for this many election timeouts is sent again.
constexpr int snapshot_patience = 5;
// A keeper without a vote that is silent for longer is asked only now and then.
constexpr std::chrono::seconds gone_after{10};
constexpr std::chrono::seconds gone_retry{2};

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

// A keeper that does not vote and has long been silent is probably gone for good.
bool consensus::is_due(const keeper_id& id, const progress& peer) const
{
    auto voters = log_.voters_at(log_.last_index());
    bool silent = !peer.heard || now_ - *peer.heard > gone_after;
    return voters.count(id) != 0 || !silent || now_ - peer.sent > gone_retry;
}

void consensus::broadcast()
{
    for (const auto& [id, peer] : peers_) {
        if (is_due(id, peer)) {
            send_append(id);
        }
    }
}

void consensus::send_append(const keeper_id& to)
{
    auto& peer = peers_[to];
    peer.sent = now_;
    auto previous = control_index(peer.next.value() - 1);
    auto previous_term = log_.term_at(previous);
    if (!previous_term) {
        auto patience = snapshot_patience * options_.election_timeout;
        if (!peer.snapshot_sent || now_ - *peer.snapshot_sent > patience) {
            peer.snapshot_sent = now_;
            output_.snapshot_receivers.push_back(to);
        }
        // As a heartbeat; the receiver does not match it.
        previous = log_.last_index();
        previous_term = log_.last_term();
    }
    append_request request{
        .previous_index = previous, .previous_term = *previous_term, .commit = commit_};
    if (previous.next() == peer.next) {
        request.entries = log_.slice(peer.next, entries_per_message);
        peer.next = control_index(peer.next.value() + request.entries.size());
    }
    output_.messages.push_back(make(to, std::move(request)));
}

void consensus::on(const consensus_message& message, const append_request& request)
{
    append_response response;
    if (message.term < hard_.term) {
        output_.messages_after_sync.push_back(make(message.from, response));
        return;
    }
    become_follower(message.term, message.from);
    leader_heard_ = now_;
    rest_election_timer();
    auto held = log_.term_at(request.previous_index);
    // What is accepted is equal everywhere.
    bool accepted = request.previous_index <= commit_;
    if (accepted || (held && *held == request.previous_term)) {
        append_from_leader(request);
        response.matched = true;
        response.index =
            control_index(request.previous_index.value() + request.entries.size());
        response.index = std::max(response.index, commit_);
        commit_ = std::max(commit_, std::min(request.commit, response.index));
    } else {
        response.index = retry_hint(request.previous_index);
    }
    response.commit = commit_;
    output_.messages_after_sync.push_back(make(message.from, response));
}

void consensus::append_from_leader(const append_request& request)
{
    for (const auto& entry : request.entries) {
        auto held = log_.term_at(entry.index);
        if (entry.index <= commit_ || (held && *held == entry.term)) {
            continue;
        }
        if (held) {
            log_.truncate(entry.index);
            write_from_ = std::min(write_from_, entry.index);
            durable_ = std::min(durable_, control_index(entry.index.value() - 1));
        }
        log_.append(entry);
    }
}

// Steps back over the whole term that differs.
control_index consensus::retry_hint(control_index previous) const
{
    if (previous > log_.last_index()) {
        return log_.last_index();
    }
    auto differing = log_.term_at(previous);
    auto hint = previous;
    while (hint > commit_ && log_.term_at(hint) == differing) {
        hint = control_index(hint.value() - 1);
    }
    return hint;
}

void consensus::on(const consensus_message& message, const append_response& response)
{
    if (role_ != keeper_role::leader || message.term != hard_.term) {
        return;
    }
    auto& peer = peers_[message.from];
    if (peer.incarnation != message.from_incarnation) {
        auto heard = peer.heard;
        peer = progress{.incarnation = message.from_incarnation,
                        .next = log_.last_index().next(),
                        .heard = heard};
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
    admit_if_complete(message.from);
    if (peer.next <= log_.last_index()) {
        send_append(message.from);
    }
}

void consensus::on(const consensus_message& message, const snapshot_request& request)
{
    if (message.term < hard_.term) {
        return;
    }
    become_follower(message.term, message.from);
    leader_heard_ = now_;
    rest_election_timer();
    const auto& snapshot = request.snapshot;
    append_response response{.matched = true, .index = commit_};
    if (log_.term_at(snapshot.index) == snapshot.term) {
        // The log holds it all; later entries stay, as the leader may count them.
        commit_ = std::max(commit_, snapshot.index);
        response.index = std::max(snapshot.index, commit_);
    } else if (snapshot.index > commit_) {
        log_ = consensus_log(snapshot.index, snapshot.term, snapshot.voters);
        commit_ = snapshot.index;
        durable_ = snapshot.index;
        write_from_ = snapshot.index.next();
        output_.install = snapshot;
        response.index = snapshot.index;
    }
    response.commit = commit_;
    output_.messages_after_sync.push_back(make(message.from, response));
}

bool consensus::is_held_by_quorum(control_index index) const
{
    voter_map holding;
    if (durable_ >= index) {
        holding[options_.self] = options_.incarnation;
    }
    for (const auto& [id, peer] : peers_) {
        if (peer.match >= index) {
            holding[id] = peer.incarnation;
        }
    }
    return holds_quorum(holding);
}

// Entries of earlier terms are accepted only along with one of this term.
void consensus::advance_commit()
{
    auto before = commit_;
    auto candidate = std::max(commit_.next(), first_of_term_);
    while (candidate <= log_.last_index() && is_held_by_quorum(candidate)) {
        commit_ = candidate;
        candidate = candidate.next();
    }
    if (commit_ != before) {
        broadcast_due_ = true;
    }
}

void consensus::admit_if_complete(const keeper_id& id)
{
    const auto& peer = peers_[id];
    auto voters = log_.voters_at(log_.last_index());
    auto found = voters.find(id);
    bool admitted = found != voters.end() && found->second == peer.incarnation;
    bool settled = commit_ >= first_of_term_ && log_.last_membership() <= commit_;
    if (admitted || !settled || peer.match < commit_ || is_transferring()) {
        return;
    }
    auto place = place_for(id, voters);
    if (place) {
        append_own(
            admit_keeper{.id = id, .incarnation = peer.incarnation, .replaces = *place});
    }
}

// The voter that \p id may replace, empty if it needs none; nothing if it has to wait.
std::optional<keeper_id> consensus::place_for(const keeper_id& id,
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
        auto heard = found == peers_.end() ? std::nullopt : found->second.heard;
        auto last = std::max(heard.value_or(led_since_), led_since_);
        if (now_ - last > options_.replace_after) {
            return voter;
        }
    }
    return std::nullopt;
}

void consensus::check_quorum()
{
    if (now_ - led_since_ < options_.election_timeout) {
        return;
    }
    voter_map heard{{options_.self, options_.incarnation}};
    for (const auto& [id, peer] : peers_) {
        if (peer.heard && now_ - *peer.heard < options_.election_timeout) {
            heard[id] = peer.incarnation;
        }
    }
    if (!holds_quorum(heard)) {
        become_follower(hard_.term, {});
    }
}

void consensus::transfer_leadership(steady_time now)
{
    now_ = std::max(now_, now);
    if (role_ != keeper_role::leader || is_transferring()) {
        return;
    }
    transfer_until_ = now_ + options_.election_timeout;
    transfer_sent_ = false;
    continue_transfer();
}

void consensus::continue_transfer()
{
    if (!transfer_until_) {
        return;
    }
    if (now_ > *transfer_until_) {
        transfer_until_.reset();
        return;
    }
    auto voters = log_.voters_at(commit_);
    for (const auto& [id, peer] : peers_) {
        auto found = voters.find(id);
        bool votes = found != voters.end() && found->second == peer.incarnation;
        if (!transfer_sent_ && votes && peer.match == log_.last_index()) {
            transfer_sent_ = true;
            output_.messages.push_back(make(id, timeout_now{}));
        }
    }
}

} // namespace papayabridge

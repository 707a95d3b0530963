// Status and alarms of a keeper.

#include "elapsed.hpp"
#include "replicator.hpp"

#include <array>

namespace papayabridge {

namespace {

// A keeper without messages for longer than this raises an alarm.
constexpr std::chrono::seconds silence_alarm{5};

// A write that takes longer than this raises an alarm.
constexpr std::chrono::seconds slow_disk_alarm{2};

constexpr std::array<const char*, 4> role_names{"follower", "candidate", "candidate",
                                                "leader"};

std::string seconds_text(std::chrono::milliseconds time)
{
    return std::to_string(time.count() / 1000) + " s";
}

} // namespace

std::vector<std::string> replicator::alarms() const
{
    std::vector<std::string> alarms;
    if (storage_damaged_) {
        alarms.push_back(storage_failure_->str() +
                         "; this keeper stays out of the group until the storage is "
                         "repaired and it is restarted");
    } else if (storage_failure_) {
        alarms.push_back(storage_failure_->str() +
                         "; this keeper stays out of the group until the storage takes "
                         "the write, which is tried again");
    }
    if (write_started_at_ && elapsed_since(*write_started_at_) > slow_disk_alarm) {
        alarms.push_back("the disk has not finished a write for " +
                         seconds_text(elapsed_since(*write_started_at_)));
    }
    if (!consensus_) {
        alarms.emplace_back("does not know the initial voters; a new group starts "
                            "only when all keepers are reachable");
        return alarms;
    }
    std::size_t silent_count = 0;
    for (const auto& id : network_.peer_ids()) {
        auto contact = consensus_->last_contact(id);
        auto silence = elapsed_since(contact.value_or(started_));
        if (silence < silence_alarm) {
            continue;
        }
        ++silent_count;
        // Followers do not exchange messages, so only the leader reports silent keepers.
        if (consensus_->role() != keeper_role::leader) {
            continue;
        }
        alarms.push_back("keeper " + id.str() + " was not heard for " +
                         seconds_text(silence));
    }
    if (silent_count != 0 && silent_count == network_.peer_ids().size()) {
        alarms.push_back("keeper " + settings_.id.str() +
                         " receives nothing from any other keeper");
    }
    if (!leader_known()) {
        alarms.emplace_back("no leader is heard");
    } else if (!is_current()) {
        alarms.emplace_back("hears the leader, but has not applied what it told");
    }
    return alarms;
}

keeper_status replicator::status() const
{
    keeper_status status;
    status.id = settings_.id;
    status.role = "learner";
    status.applied = applied_.applied();
    status.storage = storage_failure_ ? storage_failure_->str() : "ok";
    status.alarms = alarms();
    if (!consensus_) {
        return status;
    }
    auto voters = consensus_->voters();
    auto self = voters.find(settings_.id);
    bool votes = self != voters.end() && self->second == incarnation_;
    status.role =
        votes ? role_names.at(static_cast<std::size_t>(consensus_->role())) : "learner";
    status.term = consensus_->term().value();
    status.leader = consensus_->leader(steady_clock::now());
    status.is_current = is_current();
    status.committed = consensus_->commit_index();
    for (const auto& [id, incarnation] : consensus_->settled_voters()) {
        status.voters.push_back(id);
    }
    if (!votes) {
        status.learners.push_back(settings_.id);
    }
    for (const auto& id : network_.peer_ids()) {
        keeper_peer peer;
        peer.id = id;
        if (auto contact = consensus_->last_contact(id)) {
            peer.since_contact = elapsed_since(*contact);
        }
        status.peers.push_back(peer);
    }
    return status;
}

} // namespace papayabridge

#include <papayabridge/json.hpp>
#include <papayabridge/pool_state.hpp>

#include <algorithm>

namespace papayabridge {

namespace {

// Number of removed runs that are remembered. Beyond it, the run that started first is
// forgotten.
constexpr std::size_t max_removed_runs = 1000;
// Number of departed runs that are remembered. Beyond it, the one that left first is
// forgotten.
constexpr std::size_t max_departed_runs = 1000;

} // namespace

// The target led before, or was ordered before another member was: that it leads does not
// show that its last order has taken effect.
bool settles_orders(const pooled_service& service, const member_id& leader)
{
    if (!service.pending || leader.empty() || service.pending->target != leader ||
        service.primary == leader)
    {
        return false;
    }
    const auto& outstanding = service.pending->outstanding;
    auto repeats = std::count(outstanding.begin(), outstanding.end(), leader);
    return repeats == 0 || static_cast<std::size_t>(repeats) == outstanding.size();
}

const pooled_member* pool_state::member(const member_id& id) const
{
    auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

std::vector<const pooled_member*>
pool_state::members_of(const service_name& service) const
{
    std::vector<const pooled_member*> found;
    for (const auto& [id, member] : members_) {
        if (member.service == service) {
            found.push_back(&member);
        }
    }
    return found;
}

std::vector<member_run> pool_state::departed_of(const service_name& service) const
{
    std::vector<member_run> runs;
    for (const auto& [run, departure] : departed_) {
        if (departure.service == service) {
            runs.push_back(run);
        }
    }
    return runs;
}

bool pool_state::is_removed(const member_run& run) const
{
    auto found = removed_.find(run.id);
    return found != removed_.end() && found->second >= run.started_ms;
}

bool pool_state::is_update(const pooled_member& member) const
{
    if (is_removed(member.run)) {
        return false;
    }
    const auto* known = this->member(member.run.id);
    if (known == nullptr || known->run.started_ms < member.run.started_ms) {
        return true;
    }
    bool is_older = known->run.started_ms > member.run.started_ms ||
                    member.sequence <= known->sequence;
    // A leaving member stays so for the rest of its run.
    bool ends_leaving = known->leaving && !member.leaving;
    if (is_older || ends_leaving) {
        return false;
    }
    return known->leaving != member.leaving ||
           known->claims_primary != member.claims_primary ||
           known->endpoint != member.endpoint || known->service != member.service ||
           known->slots != member.slots || known->domain != member.domain;
}

void pool_state::apply(control_index, const publish_configuration& change)
{
    if (change.configuration.version > configuration_.version) {
        configuration_ = change.configuration;
    }
}

void pool_state::apply(control_index, const register_keeper& change)
{
    if (change.keeper.rpc.empty()) {
        keepers_.erase(change.keeper.id);
        return;
    }
    // An address belongs to the keeper that registered it last.
    for (auto keeper = keepers_.begin(); keeper != keepers_.end();) {
        bool is_superseded =
            keeper->second.rpc == change.keeper.rpc && keeper->first != change.keeper.id;
        keeper = is_superseded ? keepers_.erase(keeper) : std::next(keeper);
    }
    keepers_[change.keeper.id] = change.keeper;
}

// Two members cannot listen at the same address, so the one that started earlier is gone.
void pool_state::remove_replaced_members(control_index index,
                                         const pooled_member& arrived)
{
    for (auto member = members_.begin(); member != members_.end();) {
        const auto& other = member->second;
        bool is_replaced = other.endpoint == arrived.endpoint &&
                           other.run.id != arrived.run.id &&
                           other.run.started_ms < arrived.run.started_ms;
        if (is_replaced) {
            removed_[other.run.id] = other.run.started_ms;
            record_departure(index, other);
        }
        member = is_replaced ? members_.erase(member) : std::next(member);
    }
}

// The copies of a commit are counted among the replicas, so the end of the primary itself
// takes none away.
void pool_state::record_departure(control_index index, const pooled_member& gone)
{
    auto found = services_.find(gone.service);
    bool is_replica = found != services_.end() && !found->second.primary.empty() &&
                      found->second.primary != gone.run.id;
    if (!is_replica) {
        return;
    }
    departed_[gone.run] = {
        .service = gone.service, .endpoint = gone.endpoint, .since = index};
    if (departed_.size() > max_departed_runs) {
        departed_.erase(std::min_element(departed_.begin(), departed_.end(),
                                         [](const auto& a, const auto& b) {
                                             return a.second.since < b.second.since;
                                         }));
    }
}

// The target was chosen among the replicas that remained, so from now on the service's
// log holds what they held. A replica that left after the attempt began may have received
// from the new primary already.
void pool_state::set_promoted_primary(pooled_service& service, const service_name& name,
                                      const member_id& primary)
{
    auto began = service.pending->fencing_token;
    std::erase_if(departed_, [&](const auto& departed) {
        return departed.second.service == name && departed.second.since < began;
    });
    service.pending.reset();
    set_primary(name, primary);
}

void pool_state::set_primary(const service_name& service, const member_id& primary)
{
    auto& record = services_[service];
    const auto* known = member(primary);
    // A run that does not claim the role may have started since.
    bool is_its_run = known != nullptr && known->claims_primary;
    record.primary_started_ms = is_its_run ? known->run.started_ms : 0;
    if (record.primary != primary) {
        record.primary = primary;
        record.suspected_since = {};
        ++record.primary_changes;
    }
}

void pool_state::apply(control_index index, const report_member& change)
{
    const auto& reported = change.member;
    if (!is_update(reported)) {
        return;
    }
    const auto* known = member(reported.run.id);
    if (known != nullptr && known->run != reported.run) {
        record_departure(index, *known);
    }
    remove_replaced_members(index, reported);
    members_[reported.run.id] = reported;
    auto& service = services_[reported.service];
    if (!reported.claims_primary) {
        return;
    }
    bool promoted = settles_orders(service, reported.run.id);
    bool vacant = service.primary.empty() || member(service.primary) == nullptr;
    bool leads_still = service.primary == reported.run.id;
    if (promoted) {
        set_promoted_primary(service, reported.service, reported.run.id);
    } else if ((vacant || leads_still) && !service.pending) {
        set_primary(reported.service, reported.run.id);
    }
}

void pool_state::apply(control_index index, const remove_member& change)
{
    const auto* known = member(change.run.id);
    if (known != nullptr && known->run.started_ms <= change.run.started_ms) {
        record_departure(index, *known);
        members_.erase(change.run.id);
    }
    if (change.is_covered) {
        departed_.erase(change.run);
    }
    auto& removed = removed_[change.run.id];
    removed = std::max(removed, change.run.started_ms);
    if (removed_.size() > max_removed_runs) {
        auto oldest = std::min_element(
            removed_.begin(), removed_.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        removed_.erase(oldest);
    }
}

void pool_state::apply(control_index index, const begin_promotion& change)
{
    auto& pending = services_[change.service].pending;
    promotion begun{.fencing_token = index};
    if (pending) {
        begun.outstanding = std::move(pending->outstanding);
        auto is_known = std::count(begun.outstanding.begin(), begun.outstanding.end(),
                                   pending->target) != 0;
        if (!pending->target.empty() && !is_known) {
            begun.outstanding.push_back(pending->target);
        }
    }
    pending = std::move(begun);
}

void pool_state::apply(control_index, const choose_target& change)
{
    auto& service = services_[change.service];
    if (service.pending && service.pending->fencing_token == change.fencing_token) {
        service.pending->target = change.target;
    }
}

void pool_state::apply(control_index, const confirm_primary& change)
{
    auto& service = services_[change.service];
    auto pending = service.pending ? service.pending->fencing_token : control_index();
    // The outcome of a promotion is void once a later promotion has begun.
    if (pending != change.fencing_token) {
        return;
    }
    // A primary that was only ordered again covers nothing.
    bool promoted = service.pending && service.pending->target == change.primary &&
                    service.primary != change.primary;
    if (promoted) {
        set_promoted_primary(service, change.service, change.primary);
        return;
    }
    service.pending.reset();
    set_primary(change.service, change.primary);
}

void pool_state::apply(control_index index, const suspect_primary& change)
{
    auto found = services_.find(change.service);
    if (found != services_.end() && found->second.primary == change.primary) {
        found->second.suspected_since = change.is_suspected ? index : control_index();
    }
}

void pool_state::apply(control_index, const read_barrier&) {}

} // namespace papayabridge

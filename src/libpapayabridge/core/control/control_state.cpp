#include <papayabridge/control_state.hpp>

#include <algorithm>
#include <xxhash.h>

namespace papayabridge {

namespace {

// Number of past changes whose outcome is kept. Older ones, if resent, are refused as
// version conflicts.
constexpr std::size_t max_past_changes = 2000;

command_outcome refusal(error_kind kind, std::string detail)
{
    command_outcome outcome;
    outcome.accepted = false;
    outcome.problem = fail(kind, std::move(detail));
    return outcome;
}

std::uint64_t rendezvous_weight(const std::string& node, const std::string& key)
{
    auto text = node + "\n" + key;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

papayabridge::term database_record::highest_term() const
{
    return pending ? std::max(term, pending->term) : term;
}

// With this quorum, fewer admitted members than `copies` have not accepted the new term,
// so they cannot be all holders of an acknowledged write.
std::size_t database_record::fencing_quorum() const
{
    if (copies == 0) {
        return majority_of(group_size);
    }
    auto admitted = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const auto& member) { return member.second.admitted; }));
    return admitted + 1 - std::min(admitted, copies);
}

entry_id database_record::primary_gate() const
{
    auto found = members.find(primary);
    return found == members.end() ? entry_id() : found->second.gate;
}

const entry_record* control_state::entry(const entry_id& id) const
{
    auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

const database_record* control_state::database(const database_key& key) const
{
    auto found = databases_.find(key);
    return found == databases_.end() ? nullptr : &found->second;
}

command_outcome control_state::apply(control_index index, const command& change)
{
    applied_ = index;
    return std::visit([this](const auto& alternative) { return execute(alternative); },
                      change);
}

command_outcome control_state::execute(const change_configuration& change)
{
    if (change.change.empty()) {
        return refusal(error_kind::bad_request, "the change has no id");
    }
    for (const auto& past : past_changes_) {
        if (past.change == change.change) {
            return past.outcome;
        }
    }
    command_outcome outcome;
    if (change.base != configuration_.version) {
        outcome = refusal(error_kind::version_conflict,
                          "based on version " + std::to_string(change.base.value()) +
                              ", but version " +
                              std::to_string(configuration_.version.value()) + " by " +
                              configuration_.author + " (change " +
                              configuration_.change.str() + ") is in force");
    } else {
        configuration_.version = configuration_.version.next();
        configuration_.change = change.change;
        configuration_.author = change.author;
        configuration_.content = change.content;
        outcome.version = configuration_.version;
    }
    past_changes_.push_back({.change = change.change, .outcome = outcome});
    if (past_changes_.size() > max_past_changes) {
        past_changes_.pop_front();
    }
    return outcome;
}

command_outcome control_state::execute(const register_entry& change)
{
    if (change.entry.id.empty()) {
        return refusal(error_kind::bad_request, "the entry has no id");
    }
    entries_[change.entry.id] = change.entry;
    improve_gates();
    return {};
}

command_outcome control_state::execute(const set_entry_condition& change)
{
    auto found = entries_.find(change.entry);
    if (found == entries_.end()) {
        return refusal(error_kind::not_found, "no entry " + change.entry.str());
    }
    if (found->second.incarnation != change.incarnation) {
        return refusal(error_kind::superseded,
                       "entry " + change.entry.str() + " has restarted since");
    }
    if (found->second.condition == change.condition) {
        return {};
    }
    found->second.condition = change.condition;
    switch (change.condition) {
    case entry_condition::up:
        improve_gates();
        break;
    case entry_condition::draining:
        move_gates_from(change.entry, transition_reason::gate_moved, true);
        break;
    case entry_condition::down:
        move_gates_from(change.entry, transition_reason::gate_lost, false);
        break;
    }
    return {};
}

command_outcome control_state::execute(const announce_member& change)
{
    const auto& key = change.database;
    if (key.service.empty() || key.database.empty() || change.member.id.empty()) {
        return refusal(error_kind::bad_request, "the member has no id or no database");
    }
    auto& database = databases_[change.database];
    database.key = change.database;
    database.group_size = std::max(database.group_size, change.group_size);
    auto& member = database.members[change.member.id];
    bool starts_leaving = member.condition == member_condition::serving &&
                          change.member.condition == member_condition::leaving;
    auto gate = member.gate;
    // The driver of a pending transition counts the members admitted when it began.
    bool admitted = member.admitted ||
                    (change.member.admitted && is_formed(database) && !database.pending);
    member = change.member;
    member.admitted = admitted;
    member.gate = gate.empty() ? choose_gate(member) : gate;
    form_if_majority_announced(database);
    if (is_formed(database) && starts_leaving && database.primary == member.id) {
        start_transition(database, transition_reason::member_leaving, true, {});
    }
    return {};
}

command_outcome control_state::execute(const begin_transition& change)
{
    auto found = databases_.find(change.database);
    if (found == databases_.end()) {
        return refusal(error_kind::not_found, "no database " + change.database.str());
    }
    if (change.base != found->second.highest_term()) {
        return refusal(error_kind::superseded,
                       "term " + std::to_string(found->second.highest_term().value()) +
                           " was already assigned");
    }
    start_transition(found->second, change.reason, change.planned, change.driver);
    return {};
}

command_outcome control_state::execute(const complete_transition& change)
{
    auto found = databases_.find(change.database);
    if (found == databases_.end()) {
        return refusal(error_kind::not_found, "no database " + change.database.str());
    }
    auto& database = found->second;
    if (database.term == change.term && database.primary == change.primary) {
        // Resent after a lost answer.
        return {};
    }
    if (!database.pending || database.pending->term != change.term) {
        return refusal(error_kind::superseded,
                       "term " + std::to_string(change.term.value()) + " is not pending");
    }
    auto primary = database.members.find(change.primary);
    if (primary == database.members.end()) {
        return refusal(error_kind::not_found, "no member " + change.primary.str());
    }
    if (!is_formed(database)) {
        admit_founders(database, change.founders);
    }
    database.term = change.term;
    database.primary = change.primary;
    for (const auto& [member, gate] : database.pending->gates) {
        auto known = database.members.find(member);
        if (known != database.members.end()) {
            known->second.gate = gate;
        }
    }
    if (!is_entry_up(primary->second.gate)) {
        primary->second.gate = database.pending->driver;
    }
    database.pending.reset();
    return {};
}

void control_state::admit_founders(database_record& database,
                                   const std::set<member_id>& founders)
{
    database.copies = majority_of(database.group_size);
    for (auto& [id, member] : database.members) {
        member.admitted = founders.empty() || founders.count(id) != 0;
    }
}

bool control_state::is_entry_up(const entry_id& id) const
{
    const auto* found = entry(id);
    return found != nullptr && found->condition == entry_condition::up;
}

// A gate is in its member's failure domain if an entry of that domain is up. Otherwise
// the last gate is kept: it may be partitioned from the keepers and still serve its side.
entry_id control_state::choose_gate(const member_record& member) const
{
    if (is_entry_up(member.gate) && entry(member.gate)->domain == member.domain) {
        return member.gate;
    }
    entry_id best;
    std::uint64_t best_weight = 0;
    for (const auto& [id, entry] : entries_) {
        if (entry.condition != entry_condition::up || entry.domain != member.domain) {
            continue;
        }
        auto weight = rendezvous_weight(id.str(), member.id.str());
        if (best.empty() || weight > best_weight) {
            best = id;
            best_weight = weight;
        }
    }
    return best.empty() ? member.gate : best;
}

entry_id control_state::choose_driver(const database_record& database,
                                      const std::map<member_id, entry_id>& gates) const
{
    auto primary = gates.find(database.primary);
    if (primary != gates.end() && is_entry_up(primary->second)) {
        return primary->second;
    }
    for (const auto& [member, gate] : gates) {
        if (is_entry_up(gate)) {
            return gate;
        }
    }
    entry_id best;
    std::uint64_t best_weight = 0;
    for (const auto& [id, entry] : entries_) {
        auto weight = rendezvous_weight(id.str(), database.key.str());
        if (entry.condition == entry_condition::up &&
            (best.empty() || weight > best_weight)) {
            best = id;
            best_weight = weight;
        }
    }
    return best;
}

void control_state::start_transition(database_record& database, transition_reason reason,
                                     bool planned, entry_id driver)
{
    transition next;
    next.term = database.highest_term().next();
    next.reason = reason;
    next.planned = planned;
    for (const auto& [id, member] : database.members) {
        next.gates[id] = choose_gate(member);
    }
    next.driver = is_entry_up(driver) ? driver : choose_driver(database, next.gates);
    database.pending = std::move(next);
}

void control_state::move_gates_from(const entry_id& lost, transition_reason reason,
                                    bool planned)
{
    for (auto& [key, database] : databases_) {
        if (!is_formed(database) && !database.pending) {
            assign_gates(database);
        } else if (database.pending && database.pending->driver == lost) {
            start_transition(database, transition_reason::driver_lost,
                             database.pending->planned && planned, {});
        } else if (is_affected_by_loss(database, lost)) {
            start_transition(database, reason, planned, {});
        }
    }
}

// Starts a transition for each database that gets a better gate or needs a driver now
// that an entry came up.
void control_state::improve_gates()
{
    for (auto& [key, database] : databases_) {
        bool has_lost_driver = database.pending && !is_entry_up(database.pending->driver);
        if (has_lost_driver || (is_formed(database) && can_improve_gates(database))) {
            bool planned = is_formed(database) && is_entry_up(database.primary_gate());
            start_transition(database, transition_reason::gate_moved, planned, {});
        }
        if (!is_formed(database)) {
            assign_gates(database);
            form_if_majority_announced(database);
        }
    }
}

bool control_state::is_formed(const database_record& database)
{
    return database.term != term();
}

// The gate of each member after the pending transition, if any.
std::map<member_id, entry_id>
control_state::gates_after_transition(const database_record& database)
{
    std::map<member_id, entry_id> gates;
    for (const auto& [id, member] : database.members) {
        gates[id] = member.gate;
    }
    if (database.pending) {
        for (const auto& [id, gate] : database.pending->gates) {
            gates[id] = gate;
        }
    }
    return gates;
}

// The loss requires a transition if it takes the primary's gate, or if another entry can
// become the gate.
bool control_state::is_affected_by_loss(const database_record& database,
                                        const entry_id& lost) const
{
    auto gates = gates_after_transition(database);
    return std::any_of(gates.begin(), gates.end(), [&](const auto& assigned) {
        auto member = database.members.find(assigned.first);
        if (assigned.second != lost || member == database.members.end()) {
            return false;
        }
        auto moved = member->second;
        moved.gate = lost;
        return assigned.first == database.primary || choose_gate(moved) != lost;
    });
}

bool control_state::can_improve_gates(const database_record& database) const
{
    auto gates = gates_after_transition(database);
    return std::any_of(database.members.begin(), database.members.end(),
                       [&](const auto& known) {
                           auto member = known.second;
                           member.gate = gates[known.first];
                           return choose_gate(member) != member.gate;
                       });
}

void control_state::assign_gates(database_record& database)
{
    for (auto& [id, member] : database.members) {
        member.gate = choose_gate(member);
        // Otherwise the first transition would restore the gates chosen when it began.
        if (database.pending && !is_entry_up(database.pending->gates[id])) {
            database.pending->gates[id] = member.gate;
        }
    }
}

void control_state::form_if_majority_announced(database_record& database)
{
    bool can_form = !is_formed(database) && !database.pending;
    if (can_form && database.members.size() >= majority_of(database.group_size)) {
        start_transition(database, transition_reason::formed, false, {});
    }
}

} // namespace papayabridge

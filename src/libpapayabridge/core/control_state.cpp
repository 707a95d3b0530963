#include <papayabridge/control_state.hpp>

#include <algorithm>
#include <xxhash.h>

namespace papayabridge {

namespace {

// Resends of older changes than these are refused as version conflicts.
constexpr std::size_t past_changes_kept = 2000;

command_outcome refused(error_kind kind, std::string detail)
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

// Majorities are counted among admitted members only. Those that did not accept the new
// term are then fewer than any acknowledged write has copies.
std::size_t database_record::fencing_quorum() const
{
    if (copies == 0) {
        return majority_of(group_size);
    }
    auto admitted = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const auto& one) { return one.second.admitted; }));
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
    return std::visit([this](const auto& one) { return run(one); }, change);
}

command_outcome control_state::run(const change_configuration& change)
{
    if (change.change.empty()) {
        return refused(error_kind::bad_request, "the change has no id");
    }
    for (const auto& past : past_changes_) {
        if (past.change == change.change) {
            return past.outcome;
        }
    }
    command_outcome outcome;
    if (change.base != configuration_.version) {
        outcome = refused(error_kind::version_conflict,
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
    if (past_changes_.size() > past_changes_kept) {
        past_changes_.pop_front();
    }
    return outcome;
}

command_outcome control_state::run(const register_entry& change)
{
    if (change.entry.id.empty()) {
        return refused(error_kind::bad_request, "the entry has no id");
    }
    entries_[change.entry.id] = change.entry;
    fill_empty_gates();
    return {};
}

command_outcome control_state::run(const set_entry_condition& change)
{
    auto found = entries_.find(change.entry);
    if (found == entries_.end()) {
        return refused(error_kind::not_found, "no entry " + change.entry.str());
    }
    if (found->second.incarnation != change.incarnation) {
        return refused(error_kind::superseded,
                       "entry " + change.entry.str() + " has started again since");
    }
    if (found->second.condition == change.condition) {
        return {};
    }
    found->second.condition = change.condition;
    switch (change.condition) {
    case entry_condition::up:
        fill_empty_gates();
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

command_outcome control_state::run(const announce_member& change)
{
    const auto& key = change.database;
    if (key.service.empty() || key.database.empty() || change.member.id.empty()) {
        return refused(error_kind::bad_request, "the member has no name or database");
    }
    auto& database = databases_[change.database];
    database.key = change.database;
    database.group_size = std::max(database.group_size, change.group_size);
    auto& member = database.members[change.member.id];
    bool leaves = member.condition == member_condition::serving &&
                  change.member.condition == member_condition::leaving;
    auto gate = member.gate;
    // The driver of an open transition counts those that were admitted when it began.
    bool admitted = member.admitted ||
                    (change.member.admitted && is_formed(database) && !database.pending);
    member = change.member;
    member.admitted = admitted;
    member.gate = gate.empty() ? choose_gate(member) : gate;
    form_if_complete(database);
    if (is_formed(database) && leaves && database.primary == member.id) {
        intend(database, transition_reason::member_leaving, true, {});
    }
    return {};
}

command_outcome control_state::run(const begin_transition& change)
{
    auto found = databases_.find(change.database);
    if (found == databases_.end()) {
        return refused(error_kind::not_found, "no database " + change.database.str());
    }
    if (change.base != found->second.highest_term()) {
        return refused(error_kind::superseded,
                       "term " + std::to_string(found->second.highest_term().value()) +
                           " was already given out");
    }
    intend(found->second, change.reason, change.planned, change.driver);
    return {};
}

command_outcome control_state::run(const complete_transition& change)
{
    auto found = databases_.find(change.database);
    if (found == databases_.end()) {
        return refused(error_kind::not_found, "no database " + change.database.str());
    }
    auto& database = found->second;
    if (database.term == change.term && database.primary == change.primary) {
        // Sent again after a lost answer.
        return {};
    }
    if (!database.pending || database.pending->term != change.term) {
        return refused(error_kind::superseded, "term " +
                                                   std::to_string(change.term.value()) +
                                                   " is not intended");
    }
    auto primary = database.members.find(change.primary);
    if (primary == database.members.end()) {
        return refused(error_kind::not_found, "no member " + change.primary.str());
    }
    if (!is_formed(database)) {
        record_founders(database, change.founders);
    }
    database.term = change.term;
    database.primary = change.primary;
    for (const auto& [member, gate] : database.pending->gates) {
        auto known = database.members.find(member);
        if (known != database.members.end()) {
            known->second.gate = gate;
        }
    }
    if (!takes_work(primary->second.gate)) {
        primary->second.gate = database.pending->driver;
    }
    database.pending.reset();
    return {};
}

void control_state::record_founders(database_record& database,
                                    const std::set<member_id>& founders)
{
    database.copies = majority_of(database.group_size);
    for (auto& [id, member] : database.members) {
        member.admitted = founders.empty() || founders.count(id) != 0;
    }
}

bool control_state::takes_work(const entry_id& id) const
{
    const auto* found = entry(id);
    return found != nullptr && found->condition == entry_condition::up;
}

// A gate is in its member's failure domain where an entry of it is up. Where none is, the
// last gate is kept, which may be cut off from the keepers and still serve its side.
entry_id control_state::choose_gate(const member_record& member) const
{
    if (takes_work(member.gate) && entry(member.gate)->domain == member.domain) {
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
    if (primary != gates.end() && takes_work(primary->second)) {
        return primary->second;
    }
    for (const auto& [member, gate] : gates) {
        if (takes_work(gate)) {
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

void control_state::intend(database_record& database, transition_reason reason,
                           bool planned, entry_id driver)
{
    transition next;
    next.term = database.highest_term().next();
    next.reason = reason;
    next.planned = planned;
    for (const auto& [id, member] : database.members) {
        next.gates[id] = choose_gate(member);
    }
    next.driver = takes_work(driver) ? driver : choose_driver(database, next.gates);
    database.pending = std::move(next);
}

void control_state::move_gates_from(const entry_id& lost, transition_reason reason,
                                    bool planned)
{
    for (auto& [key, database] : databases_) {
        if (!is_formed(database) && !database.pending) {
            place_gates(database);
        } else if (database.pending && database.pending->driver == lost) {
            intend(database, transition_reason::driver_lost,
                   database.pending->planned && planned, {});
        } else if (loses_gate(database, lost)) {
            intend(database, reason, planned, {});
        }
    }
}

// Moves what a new entry can serve better.
void control_state::fill_empty_gates()
{
    for (auto& [key, database] : databases_) {
        bool driverless = database.pending && !takes_work(database.pending->driver);
        if (driverless || (is_formed(database) && has_better_gate(database))) {
            bool planned = is_formed(database) && takes_work(database.primary_gate());
            intend(database, transition_reason::gate_moved, planned, {});
        }
        if (!is_formed(database)) {
            place_gates(database);
            form_if_complete(database);
        }
    }
}

bool control_state::is_formed(const database_record& database)
{
    return database.term != term();
}

// The gate of each member once an open transition is completed.
std::map<member_id, entry_id> control_state::coming_gates(const database_record& database)
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

// The loss matters if the primary loses its gate, or if there is another gate to move to.
bool control_state::loses_gate(const database_record& database,
                               const entry_id& lost) const
{
    auto gates = coming_gates(database);
    return std::any_of(gates.begin(), gates.end(), [&](const auto& held) {
        auto member = database.members.find(held.first);
        if (held.second != lost || member == database.members.end()) {
            return false;
        }
        auto moved = member->second;
        moved.gate = lost;
        return held.first == database.primary || choose_gate(moved) != lost;
    });
}

bool control_state::has_better_gate(const database_record& database) const
{
    auto gates = coming_gates(database);
    return std::any_of(database.members.begin(), database.members.end(),
                       [&](const auto& one) {
                           auto member = one.second;
                           member.gate = gates[one.first];
                           return choose_gate(member) != member.gate;
                       });
}

void control_state::place_gates(database_record& database)
{
    for (auto& [id, member] : database.members) {
        member.gate = choose_gate(member);
        // The first transition would else bring back the gates of when it was intended.
        if (database.pending && !takes_work(database.pending->gates[id])) {
            database.pending->gates[id] = member.gate;
        }
    }
}

void control_state::form_if_complete(database_record& database)
{
    bool waits = !is_formed(database) && !database.pending;
    if (waits && database.members.size() >= majority_of(database.group_size)) {
        intend(database, transition_reason::formed, false, {});
    }
}

} // namespace papayabridge

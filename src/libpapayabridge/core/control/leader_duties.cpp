#include "leader_duties.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr int reports_per_timeout = 4;
// An entry is forgotten after this many timeouts without contact.
constexpr int contact_retention_timeouts = 100;
constexpr std::chrono::milliseconds repropose_interval{500};

bool is_entry_up(const control_state& state, const entry_id& id)
{
    const auto* entry = state.entry(id);
    return entry != nullptr && entry->condition == entry_condition::up;
}

} // namespace

void leader_duties::record_contact(const entry_run& entry, time_point now)
{
    auto [found, is_new] = contacts_.try_emplace(entry, contact{.last_contact = now});
    found->second.last_contact = std::max(found->second.last_contact, now);
}

std::vector<entry_run> leader_duties::take_contact_report(time_point now)
{
    std::vector<entry_run> entries;
    auto report_interval = options_.entry_timeout / reports_per_timeout;
    auto oldest_kept = now - options_.entry_timeout * contact_retention_timeouts;
    std::erase_if(contacts_, [&](const auto& known) {
        return known.second.last_contact < oldest_kept;
    });
    for (auto& [entry, contact] : contacts_) {
        bool is_unreported = contact.last_contact > contact.last_reported;
        if (is_unreported && now - contact.last_reported >= report_interval) {
            contact.last_reported = now;
            entries.push_back(entry);
        }
    }
    return entries;
}

void leader_duties::start_leading(time_point now)
{
    leading_since_ = now;
    pending_.clear();
    proposed_.clear();
}

bool leader_duties::has_timed_out(const entry_record& entry, time_point now) const
{
    auto found = contacts_.find({.id = entry.id, .incarnation = entry.incarnation});
    auto silent_since = found == contacts_.end()
                            ? *leading_since_
                            : std::max(found->second.last_contact, *leading_since_);
    return now - silent_since > options_.entry_timeout;
}

bool leader_duties::may_propose(const std::string& subject, time_point now)
{
    auto [found, is_new] = proposed_.try_emplace(subject, now);
    if (!is_new && now - found->second < repropose_interval) {
        return false;
    }
    found->second = now;
    return true;
}

std::vector<command> leader_duties::due_commands(const control_state& state,
                                                 time_point now)
{
    std::vector<command> commands;
    if (leading_since_ && now - *leading_since_ > options_.entry_timeout) {
        check_entries(state, now, commands);
        check_transitions(state, now, commands);
    }
    return commands;
}

void leader_duties::check_entries(const control_state& state, time_point now,
                                  std::vector<command>& commands)
{
    for (const auto& [id, entry] : state.entries()) {
        bool is_down = entry.condition == entry_condition::down;
        if (has_timed_out(entry, now) == is_down || !may_propose(id.str(), now)) {
            continue;
        }
        commands.emplace_back(set_entry_condition{
            .entry = id,
            .incarnation = entry.incarnation,
            .condition = is_down ? entry_condition::up : entry_condition::down});
    }
}

void leader_duties::check_transitions(const control_state& state, time_point now,
                                      std::vector<command>& commands)
{
    for (const auto& [key, database] : state.databases()) {
        if (!database.pending) {
            pending_.erase(key);
            continue;
        }
        auto& pending = pending_[key];
        if (pending.transition_term != database.pending->term) {
            pending = {.transition_term = database.pending->term, .first_seen = now};
        }
        if (now - pending.first_seen <= options_.transition_timeout ||
            !may_propose(key.str(), now))
        {
            continue;
        }
        commands.emplace_back(
            begin_transition{.database = key,
                             .base = database.pending->term,
                             .reason = transition_reason::driver_lost,
                             .planned = false,
                             .driver = choose_other_driver(state, database)});
    }
}

entry_id choose_other_driver(const control_state& state, const database_record& database)
{
    std::vector<entry_id> candidates;
    auto add_candidate = [&](const entry_id& id) {
        bool known = std::count(candidates.begin(), candidates.end(), id) != 0;
        if (!known && id != database.pending->driver && is_entry_up(state, id)) {
            candidates.push_back(id);
        }
    };
    for (const auto& [member, gate] : database.pending->gates) {
        add_candidate(gate);
    }
    if (candidates.empty()) {
        for (const auto& [id, entry] : state.entries()) {
            add_candidate(id);
        }
    }
    if (candidates.empty()) {
        return {};
    }
    // Each attempt takes the next candidate, as one may be unable to reach the members.
    return candidates[database.pending->term.value() % candidates.size()];
}

} // namespace papayabridge

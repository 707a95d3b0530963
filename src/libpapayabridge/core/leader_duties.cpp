#include "leader_duties.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr int reports_per_timeout = 4;
// Entries not heard for this many timeouts are forgotten.
constexpr int timeouts_remembered = 100;
constexpr std::chrono::milliseconds propose_again_after{500};

bool takes_work(const control_state& state, const entry_id& id)
{
    const auto* entry = state.entry(id);
    return entry != nullptr && entry->condition == entry_condition::up;
}

} // namespace

void leader_duties::record_contact(const entry_run& entry, time_point now)
{
    auto [found, is_new] = heard_.try_emplace(entry, hearing{.heard = now});
    found->second.heard = std::max(found->second.heard, now);
}

std::vector<entry_run> leader_duties::take_contact_report(time_point now)
{
    std::vector<entry_run> report;
    auto pause = options_.entry_timeout / reports_per_timeout;
    auto forgotten = now - options_.entry_timeout * timeouts_remembered;
    std::erase_if(heard_, [&](const auto& one) { return one.second.heard < forgotten; });
    for (auto& [entry, hearing] : heard_) {
        bool is_news = hearing.heard > hearing.reported;
        if (is_news && now - hearing.reported >= pause) {
            hearing.reported = now;
            report.push_back(entry);
        }
    }
    return report;
}

void leader_duties::start_leading(time_point now)
{
    leading_since_ = now;
    open_.clear();
    proposed_.clear();
}

bool leader_duties::is_silent(const entry_record& entry, time_point now) const
{
    auto found = heard_.find({.id = entry.id, .incarnation = entry.incarnation});
    auto last = found == heard_.end() ? *leading_since_
                                      : std::max(found->second.heard, *leading_since_);
    return now - last > options_.entry_timeout;
}

bool leader_duties::may_propose(const std::string& about, time_point now)
{
    auto [found, is_new] = proposed_.try_emplace(about, now);
    if (!is_new && now - found->second < propose_again_after) {
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
        judge_entries(state, now, commands);
        judge_transitions(state, now, commands);
    }
    return commands;
}

void leader_duties::judge_entries(const control_state& state, time_point now,
                                  std::vector<command>& due)
{
    for (const auto& [id, entry] : state.entries()) {
        bool is_down = entry.condition == entry_condition::down;
        if (is_silent(entry, now) == is_down || !may_propose(id.str(), now)) {
            continue;
        }
        due.emplace_back(set_entry_condition{
            .entry = id,
            .incarnation = entry.incarnation,
            .condition = is_down ? entry_condition::up : entry_condition::down});
    }
}

void leader_duties::judge_transitions(const control_state& state, time_point now,
                                      std::vector<command>& due)
{
    for (const auto& [key, database] : state.databases()) {
        if (!database.pending) {
            open_.erase(key);
            continue;
        }
        auto& open = open_[key];
        if (open.number != database.pending->term) {
            open = {.number = database.pending->term, .since = now};
        }
        if (now - open.since <= options_.transition_timeout ||
            !may_propose(key.str(), now)) {
            continue;
        }
        due.emplace_back(
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
    auto consider = [&](const entry_id& id) {
        bool known = std::count(candidates.begin(), candidates.end(), id) != 0;
        if (!known && id != database.pending->driver && takes_work(state, id)) {
            candidates.push_back(id);
        }
    };
    for (const auto& [member, gate] : database.pending->gates) {
        consider(gate);
    }
    if (candidates.empty()) {
        for (const auto& [id, entry] : state.entries()) {
            consider(id);
        }
    }
    if (candidates.empty()) {
        return {};
    }
    // The next try gets the next candidate, as one may be cut off from the members.
    return candidates[database.pending->term.value() % candidates.size()];
}

} // namespace papayabridge

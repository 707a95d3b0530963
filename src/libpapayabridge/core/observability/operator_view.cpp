#include "operator_view.hpp"

#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

// A process that was not heard for longer is an alarm.
constexpr milliseconds silence_alarm{5000};

class alarm_list
{
public:
    explicit alarm_list(const operator_view& fleet) : fleet_(fleet) {}

    std::vector<std::string> all() &&
    {
        for (const auto& keeper : fleet_.keepers) {
            check(keeper);
        }
        check_leader();
        for (const auto& entry : fleet_.entries) {
            check(entry);
        }
        if (!fleet_.state) {
            add("no keeper gave the control state; entries and databases are not known");
            return std::move(alarms_);
        }
        for (const auto& [key, database] : fleet_.state->databases()) {
            check(database);
        }
        return std::move(alarms_);
    }

private:
    void add(std::string text) { alarms_.push_back(std::move(text)); }
    void check(const keeper_view& keeper);
    void check_peers(const keeper_status& leader);
    void check_leader();
    void check(const entry_view& entry);
    void check(const database_record& database);

    const operator_view& fleet_;
    std::vector<std::string> alarms_;
};

std::string seconds(milliseconds time)
{
    return std::to_string(time.count() / 1000) + " s";
}

void alarm_list::check(const keeper_view& keeper)
{
    if (!keeper.status) {
        add("keeper at " + keeper.rpc + " cannot be reached (" + keeper.problem + ")");
        return;
    }
    const auto& status = *keeper.status;
    if (status.leader.empty()) {
        add("keeper " + status.id.str() + " hears no leader");
    }
    if (status.storage != "ok") {
        add("keeper " + status.id.str() + ": storage: " + status.storage);
    }
    for (const auto& alarm : status.alarms) {
        add("keeper " + status.id.str() + ": " + alarm);
    }
    for (const auto& learner : status.learners) {
        if (status.role == "leader") {
            add("keeper " + learner.str() + " is a learner and does not vote yet");
        }
    }
}

// Only the leader is in touch with every keeper.
void alarm_list::check_peers(const keeper_status& leader)
{
    for (const auto& peer : leader.peers) {
        if (peer.id == leader.id) {
            continue;
        }
        if (!peer.since_contact) {
            add("keeper " + peer.id.str() + " was never heard by leader " +
                leader.id.str());
        } else if (*peer.since_contact > silence_alarm) {
            add("keeper " + peer.id.str() + " is isolated: not heard by leader " +
                leader.id.str() + " for " + seconds(*peer.since_contact));
        }
    }
}

void alarm_list::check_leader()
{
    const keeper_status* leader = nullptr;
    for (const auto& keeper : fleet_.keepers) {
        bool leads = keeper.status && keeper.status->role == "leader";
        // An isolated keeper may still take itself for the leader of an old term.
        if (leads && (leader == nullptr || leader->term < keeper.status->term)) {
            leader = &*keeper.status;
        }
    }
    if (leader == nullptr) {
        add("no reachable keeper leads; changes are not accepted");
    } else {
        check_peers(*leader);
    }
}

void alarm_list::check(const entry_view& entry)
{
    const auto& id = entry.record.id.str();
    if (entry.record.condition == entry_condition::down) {
        add("entry " + id + " is down" +
            (entry.status ? ", as the keepers see it, but answers" : ""));
        return;
    }
    if (!entry.status) {
        add("entry " + id + " at " + entry.record.rpc + " cannot be reached (" +
            entry.problem + ")");
        return;
    }
    if (entry.status->view_age > silence_alarm) {
        add("entry " + id + " has not heard a keeper for " +
            seconds(entry.status->view_age));
    }
    if (fleet_.state && !has_in_force(entry, fleet_.state->configuration().version)) {
        add("entry " + id + " has configuration version " +
            std::to_string(entry.status->version.value()) + " in force, not " +
            std::to_string(fleet_.state->configuration().version.value()));
    }
}

void alarm_list::check(const database_record& database)
{
    auto name = "database " + database.key.str();
    if (database.term == term()) {
        add(name + " has no primary yet");
    }
    if (database.pending) {
        add(name + " is moving to term " +
            std::to_string(database.pending->term.value()) + " (" +
            std::string(to_string(database.pending->reason)) + ", driven by " +
            (database.pending->driver.empty() ? "no entry"
                                              : database.pending->driver.str()) +
            ")");
    }
    if (database.members.size() < database.group_size) {
        add(name + " has " + std::to_string(database.members.size()) + " of " +
            std::to_string(database.group_size) + " members announced");
    }
    for (const auto& [id, member] : database.members) {
        if (member.gate.empty()) {
            add(name + ", member " + id.str() + ": no entry can be its gate");
            continue;
        }
        const auto* gate = fleet_.state->entry(member.gate);
        if (gate == nullptr || gate->condition == entry_condition::down) {
            add(name + ", member " + id.str() + " is not served: its gate " +
                member.gate.str() + " is down");
        }
    }
}

} // namespace

result<entry_status> entry_status_from(const Json::Value& value)
{
    if (!value.isObject() || !value["version"].isUInt64()) {
        return fail(error_kind::bad_request, "not the status of an entry");
    }
    entry_status status;
    status.version = config_version(number_of(value, "version"));
    status.applied = control_index(number_of(value, "applied"));
    status.gates = value["gates"];
    status.condition = text_of(value, "condition");
    status.in_progress = number_of(value, "in_progress");
    status.view_age = milliseconds(number_of(value, "view_age_ms"));
    return status;
}

bool has_in_force(const entry_view& entry, config_version wanted)
{
    return entry.status && entry.status->version >= wanted;
}

std::vector<std::string> alarms_of(const operator_view& fleet)
{
    return alarm_list(fleet).all();
}

} // namespace papayabridge

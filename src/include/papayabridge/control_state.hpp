/// \file control_state.hpp
/// The state that the keepers replicate: configuration, entries, databases and members.
///
/// The state changes only by applying commands, in the order of the keepers' log.
/// Applying is deterministic, so every process that applies the same commands holds the
/// same state. Nothing here does I/O or reads a clock.

#pragma once

#include <deque>
#include <json/value.h>
#include <map>
#include <optional>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <papayabridge/pool_state.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace papayabridge {

// --- Records ---

/// Whether an entry is given gates and transitions to drive, as the keepers decided. A
/// replica keeps a gate that is not up while no entry of its failure domain is up.
enum class entry_condition
{
    up,
    draining,
    down
};

/// One entry process.
struct entry_record
{
    entry_id id;
    /// Differs at each start of the process.
    std::uint64_t incarnation = 0;
    /// "address:port" for callers and forwarded statements.
    std::string http;
    /// "address:port" for RPC between processes.
    std::string rpc;
    domain_name domain;
    region_name region;
    entry_condition condition = entry_condition::up;
};

/// Whether a member accepts new statements.
enum class member_condition
{
    serving,
    leaving
};

/// One member of a database, as it last announced itself.
struct member_record
{
    member_id id;
    /// "address:port".
    std::string endpoint;
    domain_name domain;
    region_name region;
    /// Statements that it runs concurrently.
    unsigned slots = 1;
    /// Connections that it accepts in total.
    unsigned connections = 1;
    member_condition condition = member_condition::serving;
    /// The gate: the entry that holds the connections to the member and its statement
    /// queue. Empty if no entry is available.
    entry_id gate;
    /// Whether it counts towards quorums: it took part when the database was formed, or
    /// has reported since then that it caught up with the primary. Never reset to false.
    /// In an announcement: whether the member reports that it caught up.
    bool admitted = false;
};

/// Why a database changes to a higher term.
enum class transition_reason
{
    formed,
    primary_lost,
    gate_lost,
    gate_moved,
    member_leaving,
    operator_asked,
    driver_lost,
};

/// A change of a database to a higher term that has begun but is not completed.
struct transition
{
    papayabridge::term term;
    /// The entry that carries out the change: it fences the old term, chooses the primary
    /// and promotes it.
    entry_id driver;
    transition_reason reason = transition_reason::formed;
    /// Whether the old gates are asked to release the database before it is fenced.
    bool planned = false;
    /// The gate of each member in the new term.
    std::map<member_id, entry_id> gates;
};

/// One database.
struct database_record
{
    database_key key;
    /// Number of members, announced or not. Majorities are counted from it.
    unsigned group_size = 1;
    /// At least this many admitted members hold each acknowledged write. 0 until the
    /// database is formed.
    std::size_t copies = 0;
    /// The published term; 0 before the first primary.
    papayabridge::term term;
    member_id primary;
    std::map<member_id, member_record> members;
    std::optional<transition> pending;

    /// The highest term assigned so far, published or pending.
    papayabridge::term highest_term() const;
    /// How many admitted members, with their data intact, must accept a new term so that
    /// every acknowledged write is held by one of them. Until the database is formed, any
    /// members count.
    std::size_t fencing_quorum() const;
    /// The gate of the primary. Empty if there is none.
    entry_id primary_gate() const;
};

/// The configuration in force.
struct configuration_record
{
    config_version version;
    change_id change;
    /// Who made the last change.
    std::string author;
    /// The configuration as JSON, see configuration.hpp.
    Json::Value content{Json::objectValue};
};

// --- Commands ---

/// Replaces the configuration if `base` is the current version. A repeated change id gets
/// the outcome of its first application.
struct change_configuration
{
    config_version base;
    change_id change;
    std::string author;
    Json::Value content{Json::objectValue};
};

/// Registers an entry that started or changed its addresses.
struct register_entry
{
    entry_record entry;
};

/// Records that an entry is down, is draining or is up again.
struct set_entry_condition
{
    entry_id entry;
    std::uint64_t incarnation = 0;
    entry_condition condition = entry_condition::up;
};

/// Records what a member announced about itself.
struct announce_member
{
    database_key database;
    unsigned group_size = 1;
    member_record member;
};

/// Begins a change to a higher term. Refused unless `base` is the highest term assigned
/// so far, so that only one of several concurrent proposers succeeds.
struct begin_transition
{
    database_key database;
    term base;
    transition_reason reason = transition_reason::formed;
    bool planned = false;
    /// If empty, the state chooses it.
    entry_id driver;
};

/// Publishes \p primary, which the driver promoted at \p term.
struct complete_transition
{
    database_key database;
    papayabridge::term term;
    member_id primary;
    /// For the first term, the members that took part. If empty, all known members.
    std::set<member_id> founders;
};

/// A command to apply to the state.
using command = std::variant<change_configuration, register_entry, set_entry_condition,
                             announce_member, begin_transition, complete_transition,
                             publish_configuration, register_keeper, report_member,
                             remove_member, begin_promotion, choose_target,
                             confirm_primary, suspect_primary, read_barrier>;

/// Converts a command to JSON and back. `bad_request` if malformed.
Json::Value to_value(const command& change);
result<command> command_from(const Json::Value& value);

/// The text of a command in the keepers' log. `bad_request` if the text would not be read
/// as the same command.
result<std::string> encode_command(const command& change);

/// The result of applying a command; the same in every process.
struct command_outcome
{
    bool accepted = true;
    /// Why the command was refused, if it was.
    error problem;
    /// For change_configuration: the version that the change created, now or when it was
    /// first applied.
    config_version version;
};

Json::Value to_value(const command_outcome& outcome);
result<command_outcome> outcome_from(const Json::Value& value);

// --- State ---

/// The replicated state. Copyable; not thread-safe.
class control_state
{
public:
    /// Applies the command at \p index. Indices must increase.
    command_outcome apply(control_index index, const command& change);

    control_index applied_index() const noexcept { return applied_; }
    const configuration_record& configuration() const noexcept { return configuration_; }
    const std::map<entry_id, entry_record>& entries() const noexcept { return entries_; }
    const std::map<database_key, database_record>& databases() const noexcept
    {
        return databases_;
    }
    /// The part for pooled services.
    const pool_state& pool() const noexcept { return pool_; }
    /// Entry \p id, or null.
    const entry_record* entry(const entry_id& id) const;
    /// Database \p key, or null.
    const database_record* database(const database_key& key) const;

    /// Converts the whole state to JSON and back.
    Json::Value snapshot() const;
    static result<control_state> from_snapshot(const Json::Value& value);

private:
    static result<control_state> decode_snapshot(const Json::Value& value);

    // The outcome of an earlier configuration change, kept for resends.
    struct past_change
    {
        change_id change;
        command_outcome outcome;
    };

    command_outcome execute(const change_configuration& change);
    command_outcome execute(const register_entry& change);
    command_outcome execute(const set_entry_condition& change);
    command_outcome execute(const announce_member& change);
    command_outcome execute(const begin_transition& change);
    command_outcome execute(const complete_transition& change);
    // The commands of pool_state.hpp, which are never refused.
    template <class Change>
    command_outcome execute(const Change& change)
    {
        pool_.apply(applied_, change);
        return {};
    }

    bool is_entry_up(const entry_id& id) const;
    entry_id choose_gate(const member_record& member) const;
    entry_id choose_driver(const database_record& database,
                           const std::map<member_id, entry_id>& gates) const;
    void start_transition(database_record& database, transition_reason reason,
                          bool planned, entry_id driver);
    void move_gates_from(const entry_id& lost, transition_reason reason, bool planned);
    void improve_gates();
    static bool is_formed(const database_record& database);
    static std::map<member_id, entry_id>
    gates_after_transition(const database_record& database);
    bool is_affected_by_loss(const database_record& database, const entry_id& lost) const;
    bool can_improve_gates(const database_record& database) const;
    void assign_gates(database_record& database);
    void form_if_majority_announced(database_record& database);
    static void admit_founders(database_record& database,
                               const std::set<member_id>& founders);

    control_index applied_;
    configuration_record configuration_;
    std::deque<past_change> past_changes_;
    std::map<entry_id, entry_record> entries_;
    std::map<database_key, database_record> databases_;
    pool_state pool_;
};

/// The enumerators' names, as in JSON.
std::string_view to_string(entry_condition condition) noexcept;
std::string_view to_string(member_condition condition) noexcept;
std::string_view to_string(transition_reason reason) noexcept;

} // namespace papayabridge

/// \file control_state.hpp
/// The state that keepers replicate: configuration, entries, databases and their members.
///
/// The state changes only by applying commands, in the order of the keepers' log.
/// Applying is deterministic: every process that applies the same commands holds the
/// same state. Nothing here does input or output or reads a clock.

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

/// Whether an entry takes work, as the keepers decided.
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
    /// New at each start of the process.
    std::uint64_t incarnation = 0;
    /// "address:port" for callers and for forwarded statements.
    std::string http;
    /// "address:port" for calls between processes.
    std::string rpc;
    domain_name domain;
    region_name region;
    entry_condition condition = entry_condition::up;
};

/// Whether a member takes new work.
enum class member_condition
{
    serving,
    leaving
};

/// One member of a database, as it announced itself.
struct member_record
{
    member_id id;
    /// "address:port".
    std::string endpoint;
    domain_name domain;
    region_name region;
    /// Statements it runs at a time.
    unsigned slots = 1;
    /// Connections it accepts, in all.
    unsigned connections = 1;
    member_condition condition = member_condition::serving;
    /// The entry that holds its connections and queue; empty if no entry can.
    entry_id gate;
    /// Whether it counts towards majorities: it took part in the founding, or told since
    /// then that it holds all that the primary held. Never taken back. In an
    /// announcement: whether the member says so.
    bool admitted = false;
};

/// Why a database moves to a higher term.
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

/// A move of a database to a higher term, intended but not completed.
struct transition
{
    papayabridge::term term;
    /// The entry that fences, chooses and promotes.
    entry_id driver;
    transition_reason reason = transition_reason::formed;
    /// Whether the old gates are asked to release before the fence.
    bool planned = false;
    /// The gate of each member from the new term on.
    std::map<member_id, entry_id> gates;
};

/// One database.
struct database_record
{
    database_key key;
    /// Members that the group has, announced or not; a majority is counted from it.
    unsigned group_size = 1;
    /// Each acknowledged write was held by so many admitted members; 0 before the
    /// founding.
    std::size_t copies = 0;
    /// Published term; 0 before the first primary.
    papayabridge::term term;
    member_id primary;
    std::map<member_id, member_record> members;
    std::optional<transition> pending;

    /// The highest term that was given out.
    papayabridge::term highest_term() const;
    /// How many admitted members that hold their data must accept a new term, so that one
    /// of them holds any acknowledged write. Before the founding: of any members.
    std::size_t fencing_quorum() const;
    /// The gate of the primary; empty if there is none.
    entry_id primary_gate() const;
};

/// The accepted configuration.
struct configuration_record
{
    config_version version;
    change_id change;
    /// Who made the change.
    std::string author;
    /// The configuration as JSON; see configuration.hpp.
    Json::Value content{Json::objectValue};
};

// --- Commands ---

/// Replaces the configuration if `base` is the current version. A change id that was
/// seen before gets its first outcome.
struct change_configuration
{
    config_version base;
    change_id change;
    std::string author;
    Json::Value content{Json::objectValue};
};

/// An entry started, or changed its addresses.
struct register_entry
{
    entry_record entry;
};

/// An entry was found lost, drains, or is back.
struct set_entry_condition
{
    entry_id entry;
    std::uint64_t incarnation = 0;
    entry_condition condition = entry_condition::up;
};

/// A member announced itself or changed.
struct announce_member
{
    database_key database;
    unsigned group_size = 1;
    member_record member;
};

/// Intends a move to a higher term. Refused unless `base` is the highest term given
/// out, so that of several proposers one wins.
struct begin_transition
{
    database_key database;
    term base;
    transition_reason reason = transition_reason::formed;
    bool planned = false;
    /// Empty: chosen by the state.
    entry_id driver;
};

/// The driver promoted \p primary at \p term; it is published by this command.
struct complete_transition
{
    database_key database;
    papayabridge::term term;
    member_id primary;
    /// At the founding, the members that took part; if empty, all that are known.
    std::set<member_id> founders;
};

/// Any command.
using command =
    std::variant<change_configuration, register_entry, set_entry_condition,
                 announce_member, begin_transition, complete_transition,
                 publish_configuration, register_keeper, report_member, remove_member,
                 begin_promotion, choose_target, confirm_primary, read_barrier>;

/// A command as JSON, and back. `bad_request` if malformed.
Json::Value to_value(const command& change);
result<command> command_from(const Json::Value& value);

/// What applying a command gave. All processes get the same.
struct command_outcome
{
    bool accepted = true;
    /// Why not, if not accepted.
    error problem;
    /// For change_configuration: the version it made, now or at its first sending.
    config_version version;
};

Json::Value to_value(const command_outcome& outcome);
result<command_outcome> outcome_from(const Json::Value& value);

// --- State ---

/// The replicated state. Copyable; not thread-safe.
class control_state
{
public:
    /// Applies the command at \p index; indices must rise.
    command_outcome apply(control_index index, const command& change);

    control_index applied_index() const noexcept { return applied_; }
    const configuration_record& configuration() const noexcept { return configuration_; }
    const std::map<entry_id, entry_record>& entries() const noexcept { return entries_; }
    const std::map<database_key, database_record>& databases() const noexcept
    {
        return databases_;
    }
    /// What pooled services need.
    const pool_state& pool() const noexcept { return pool_; }
    /// Entry \p id, or null.
    const entry_record* entry(const entry_id& id) const;
    /// Database \p key, or null.
    const database_record* database(const database_key& key) const;

    /// All of the state as JSON, and back.
    Json::Value snapshot() const;
    static result<control_state> from_snapshot(const Json::Value& value);

private:
    /// The outcome of one past configuration change, kept for resends.
    struct past_change
    {
        change_id change;
        command_outcome outcome;
    };

    command_outcome run(const change_configuration& change);
    command_outcome run(const register_entry& change);
    command_outcome run(const set_entry_condition& change);
    command_outcome run(const announce_member& change);
    command_outcome run(const begin_transition& change);
    command_outcome run(const complete_transition& change);
    /// The commands of pool_state.hpp, which are never refused.
    template <class Change>
    command_outcome run(const Change& change)
    {
        pool_.run(applied_, change);
        return {};
    }

    bool takes_work(const entry_id& id) const;
    entry_id choose_gate(const member_record& member) const;
    entry_id choose_driver(const database_record& database,
                           const std::map<member_id, entry_id>& gates) const;
    void intend(database_record& database, transition_reason reason, bool planned,
                entry_id driver);
    void move_gates_from(const entry_id& lost, transition_reason reason, bool planned);
    void fill_empty_gates();
    static bool is_formed(const database_record& database);
    static std::map<member_id, entry_id> coming_gates(const database_record& database);
    bool loses_gate(const database_record& database, const entry_id& lost) const;
    bool has_better_gate(const database_record& database) const;
    void place_gates(database_record& database);
    void form_if_complete(database_record& database);
    static void record_founders(database_record& database,
                                const std::set<member_id>& founders);

    control_index applied_;
    configuration_record configuration_;
    std::deque<past_change> past_changes_;
    std::map<entry_id, entry_record> entries_;
    std::map<database_key, database_record> databases_;
    pool_state pool_;
};

/// The names of enumerators, as in JSON.
std::string_view to_string(entry_condition condition) noexcept;
std::string_view to_string(member_condition condition) noexcept;
std::string_view to_string(transition_reason reason) noexcept;

} // namespace papayabridge

/// \file pool_state.hpp
/// The part of the replicated state that pooled services need: a published
/// configuration, the keepers' addresses, members with their announced roles, and
/// promotions with their fencing tokens.

#pragma once

#include <chrono>
#include <json/value.h>
#include <map>
#include <optional>
#include <papayabridge/error.hpp>
#include <papayabridge/ids.hpp>
#include <string>
#include <variant>
#include <vector>

namespace papayabridge {

/// One run of a member: a member that starts again is another one with the same id.
struct member_run
{
    member_id id;
    /// Milliseconds since 1970 at its start, by its own clock; 0 if it did not say.
    std::uint64_t started_ms = 0;

    friend auto operator<=>(const member_run&, const member_run&) = default;
};

/// A member of a pooled service as it announced itself last.
struct pooled_member
{
    member_run run;
    service_name service;
    /// "address:port".
    std::string endpoint;
    domain_name domain;
    unsigned slots = 1;
    bool leaving = false;
    /// What it believes to be.
    bool claims_primary = false;
    /// Number of the announcement that said this; later ones have higher numbers.
    std::uint64_t sequence = 0;
};

/// A promotion that was ordered, or is about to be.
struct promotion
{
    /// Rises with each promotion of any service.
    control_index fencing_token;
    /// Empty while it is not chosen.
    member_id target;
};

/// Who leads a pooled service.
struct pooled_service
{
    member_id primary;
    /// Raised at each change of the primary.
    std::uint64_t primary_changes = 0;
    std::optional<promotion> pending;
};

/// A configuration as its author sent it.
struct published_configuration
{
    config_version version;
    std::string text;
};

/// Where another keeper is reached.
struct keeper_record
{
    keeper_id id;
    /// "address:port" for calls between processes.
    std::string rpc;
    domain_name domain;
};

/// An entry cannot use a member.
struct member_failure
{
    entry_id entry;
    service_name service;
    member_id member;
    /// How long it has lasted.
    std::chrono::milliseconds duration{0};
};

Json::Value to_value(const member_failure& trouble);
member_failure member_failure_from(const Json::Value& value);

// --- Commands ---

/// Takes effect if its version is higher than the present one.
struct publish_configuration
{
    published_configuration configuration;
};

struct register_keeper
{
    keeper_record keeper;
};

/// A member announced something new about itself.
struct report_member
{
    pooled_member member;
};

/// A member is gone.
struct remove_member
{
    member_run run;
};

/// Reserves a fencing token; the index of the command in the log is the token.
struct begin_promotion
{
    service_name service;
    std::string reason;
};

/// Chooses the member of a promotion.
struct choose_target
{
    service_name service;
    control_index fencing_token;
    member_id target;
};

/// \p primary leads \p service. Ends the pending promotion if it has this token.
struct confirm_primary
{
    service_name service;
    control_index fencing_token;
    member_id primary;
};

/// Changes nothing; once applied, all that was accepted before it is, too.
struct read_barrier
{
};

/// The replicated part. Copyable; not thread-safe.
class pool_state
{
public:
    void run(control_index index, const publish_configuration& change);
    void run(control_index index, const register_keeper& change);
    void run(control_index index, const report_member& change);
    void run(control_index index, const remove_member& change);
    void run(control_index index, const begin_promotion& change);
    void run(control_index index, const choose_target& change);
    void run(control_index index, const confirm_primary& change);
    void run(control_index index, const read_barrier& change);

    const published_configuration& configuration() const noexcept
    {
        return configuration_;
    }
    const std::map<keeper_id, keeper_record>& keepers() const noexcept
    {
        return keepers_;
    }
    const std::map<member_id, pooled_member>& members() const noexcept
    {
        return members_;
    }
    const std::map<service_name, pooled_service>& services() const noexcept
    {
        return services_;
    }
    /// Member \p id, or null.
    const pooled_member* member(const member_id& id) const;
    /// The members of \p service.
    std::vector<const pooled_member*> members_of(const service_name& service) const;
    /// Whether \p member says something that is not known yet.
    bool is_update(const pooled_member& member) const;
    /// Whether \p run, or a later run of the same id, was removed.
    bool is_removed(const member_run& run) const;

    Json::Value snapshot() const;
    static pool_state from_snapshot(const Json::Value& value);

private:
    void lead(const service_name& service, const member_id& primary);
    void drop_older_at(const pooled_member& arrived);

    published_configuration configuration_;
    std::map<keeper_id, keeper_record> keepers_;
    std::map<member_id, pooled_member> members_;
    std::map<service_name, pooled_service> services_;
    /// The last run of members that left, so that a late announcement does not bring
    /// them back.
    std::map<member_id, std::uint64_t> removed_;
};

} // namespace papayabridge

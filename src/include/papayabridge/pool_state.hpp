/// \file pool_state.hpp
/// The part of the replicated state for pooled services: the published configuration,
/// the keepers' addresses, the members with their announced roles, and promotions with
/// their fencing tokens.

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

/// One run of a member's process. A restarted member has the same id and a later start.
struct member_run
{
    member_id id;
    /// Start time in milliseconds since 1970 by the member's clock; 0 if unknown.
    std::uint64_t started_ms = 0;

    friend auto operator<=>(const member_run&, const member_run&) = default;
};

/// A member of a pooled service, as it last announced itself.
struct pooled_member
{
    member_run run;
    service_name service;
    /// "address:port".
    std::string endpoint;
    domain_name domain;
    unsigned slots = 1;
    bool leaving = false;
    /// Whether the member considers itself the primary.
    bool claims_primary = false;
    /// Number of the announcement; later announcements have higher numbers.
    std::uint64_t sequence = 0;
};

/// A run of a replica that has ended and may have been the only holder of a commit.
struct departed_member
{
    service_name service;
    /// "address:port" at which it listened. A member whose removal was not confirmed to
    /// it runs on there for some seconds.
    std::string endpoint;
    /// Index of the command that removed it.
    control_index since;
};

/// A promotion that has begun and is not confirmed.
struct promotion
{
    /// Increases with each promotion of any service.
    control_index fencing_token;
    /// The member to promote. Empty until it is chosen, and after its order was refused.
    member_id target;
    /// Targets of earlier attempts whose orders may still take effect. An empty id stands
    /// for an unknown target.
    std::vector<member_id> outstanding;
};

/// The primary of a pooled service, and the promotion under way.
struct pooled_service
{
    member_id primary;
    /// Start time of the primary's run when it last came to lead, as in member_run; 0 if
    /// unknown. A later run may have lost its log.
    std::uint64_t primary_started_ms = 0;
    /// Number of changes of the primary.
    std::uint64_t primary_changes = 0;
    /// Since which command many entries cannot use the primary, so that it may be
    /// replaced soon; 0 if they can. Its acknowledgements may rest on a replica that the
    /// keepers do not know.
    control_index suspected_since;
    std::optional<promotion> pending;
};

/// Whether no earlier order can take effect any more once \p leader was seen to lead.
/// Orders take effect in the order in which they were carried out.
bool settles_orders(const pooled_service& service, const member_id& leader);

/// A configuration, in the text that its author sent.
struct published_configuration
{
    config_version version;
    std::string text;
};

/// A keeper and its address.
struct keeper_record
{
    keeper_id id;
    /// "address:port" for RPC between processes.
    std::string rpc;
    domain_name domain;
};

/// An entry's report that it cannot use a member.
struct member_failure
{
    entry_id entry;
    service_name service;
    member_id member;
    /// How long the failure has lasted.
    std::chrono::milliseconds duration{0};
};

Json::Value to_value(const member_failure& failure);
member_failure member_failure_from(const Json::Value& value);

/// An entry's report of the commits that it acknowledged on the word of the primary
/// alone. From the report on, it acknowledges none without the word of a replica that the
/// keepers know, until the suspicion ends.
struct commit_report
{
    entry_id entry;
    service_name service;
    /// The suspicion of the primary that it answers; see pooled_service.
    control_index suspicion;
    /// The furthest such commit; empty if there was none.
    std::optional<position> furthest;
};

Json::Value to_value(const commit_report& report);
commit_report commit_report_from(const Json::Value& value);

/// What an entry tells the keepers about the primaries that it cannot use or that are
/// suspected.
struct primary_report
{
    std::vector<member_failure> failures;
    std::vector<commit_report> commits;
};

Json::Value to_value(const primary_report& report);
primary_report primary_report_from(const Json::Value& value);

// --- Commands ---

/// Replaces the published configuration if the version is higher than the current one.
struct publish_configuration
{
    published_configuration configuration;
};

/// Records a keeper's address, or gives it up if it is empty. Earlier versions keep an
/// empty address instead, which nobody uses.
struct register_keeper
{
    keeper_record keeper;
};

/// Records what a member announced about itself.
struct report_member
{
    pooled_member member;
};

/// Removes a run of a member that has ended.
struct remove_member
{
    member_run run;
    /// Whether every commit that the run may have held alone is held by other replicas.
    /// Earlier versions ignore it.
    bool is_covered = false;
};

/// Begins a promotion. The index of the command in the log is the fencing token.
struct begin_promotion
{
    service_name service;
    std::string reason;
};

/// Sets the target of the pending promotion before it is ordered. An empty target
/// withdraws it, as its order was refused. Ignored unless the token is its token.
struct choose_target
{
    service_name service;
    control_index fencing_token;
    member_id target;
};

/// Records that the primary of \p service is suspected to be lost, or not any more.
/// Ignored unless \p primary is still its primary.
struct suspect_primary
{
    service_name service;
    member_id primary;
    bool is_suspected = false;
};

/// Records \p primary as the primary of \p service and ends the pending promotion.
/// Ignored unless the token is that of the pending promotion, or 0 if none is pending.
struct confirm_primary
{
    service_name service;
    control_index fencing_token;
    member_id primary;
};

/// Changes nothing. Once it is applied, every command committed before it is applied,
/// too.
struct read_barrier
{
};

/// The replicated state of pooled services. Copyable; not thread-safe.
class pool_state
{
public:
    void apply(control_index index, const publish_configuration& change);
    void apply(control_index index, const register_keeper& change);
    void apply(control_index index, const report_member& change);
    void apply(control_index index, const remove_member& change);
    void apply(control_index index, const begin_promotion& change);
    void apply(control_index index, const choose_target& change);
    void apply(control_index index, const confirm_primary& change);
    void apply(control_index index, const suspect_primary& change);
    void apply(control_index index, const read_barrier& change);

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
    /// Runs that have ended and are not covered yet.
    const std::map<member_run, departed_member>& departed() const noexcept
    {
        return departed_;
    }
    /// The departed runs of \p service.
    std::vector<member_run> departed_of(const service_name& service) const;
    /// Member \p id, or null.
    const pooled_member* member(const member_id& id) const;
    /// The members of \p service.
    std::vector<const pooled_member*> members_of(const service_name& service) const;
    /// Whether the announcement \p member is newer than the known one and differs from
    /// it.
    bool is_update(const pooled_member& member) const;
    /// Whether \p run or a later run of the same member was removed.
    bool is_removed(const member_run& run) const;

    Json::Value snapshot() const;
    static pool_state from_snapshot(const Json::Value& value);

private:
    void set_primary(const service_name& service, const member_id& primary);
    void set_promoted_primary(pooled_service& service, const service_name& name,
                              const member_id& primary);
    void remove_replaced_members(control_index index, const pooled_member& arrived);
    void record_departure(control_index index, const pooled_member& gone);

    published_configuration configuration_;
    std::map<keeper_id, keeper_record> keepers_;
    std::map<member_id, pooled_member> members_;
    std::map<service_name, pooled_service> services_;
    // The last removed run of each member, so that a delayed announcement does not add
    // the member again.
    std::map<member_id, std::uint64_t> removed_;
    std::map<member_run, departed_member> departed_;
};

} // namespace papayabridge

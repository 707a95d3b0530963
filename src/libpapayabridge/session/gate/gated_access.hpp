/// \file gated_access.hpp
/// Sends each statement over this entry's own connections or through a gate of its
/// member.

#pragma once

#include "gate_link.hpp"
#include "statement_gate.hpp"

namespace papayabridge {

/// What a gated_access works with. The references must outlive it.
struct gated_access_options
{
    net::any_io_executor executor;
    /// This entry.
    entry_id self;
    token_codec fleet_key;
    /// Runs statements over this entry's own connections.
    member_access& local;
    /// Runs statements as the gate of their members.
    statement_gate& gate;
    member_pool& pool;
};

/// Chooses gates by core/routing/gate_placement. Must be used on one thread.
class gated_access : public member_access
{
public:
    explicit gated_access(gated_access_options options);
    ~gated_access() override;

    /// Adopts the members and entries of \p view.
    void update(std::shared_ptr<const pool_view> view);
    net::awaitable<member_outcome> run(member_request request) override;

private:
    struct member_gates;

    net::awaitable<member_outcome> run_through_gates(member_request request);
    net::awaitable<member_outcome> run_at(const member_request& request,
                                          const member_id& member);
    /// The gates of \p member and their standbys, in the order in which a statement of
    /// \p account tries them.
    std::vector<entry_id> gates_for(const viewed_member& member,
                                    const account_name& account);
    gate_link* link_to(const entry_id& gate);
    void record_use(const member_id& member, const member_request& request,
                    const member_outcome& outcome);
    bool is_long_unreachable(const member_id& member);

    gated_access_options options_;
    std::shared_ptr<const pool_view> view_;
    std::map<member_id, member_gates> gates_;
    std::map<entry_id, std::unique_ptr<gate_link>> links_;
    /// Gates that have no room for a request that prefers a refusal, until this time.
    std::map<member_id, time_point> busy_until_;
    /// A series of refusals because the gates cannot reach a member.
    struct unreachable_series
    {
        time_point first;
        time_point last;
    };
    std::map<member_id, unreachable_series> unreachable_;
};

} // namespace papayabridge

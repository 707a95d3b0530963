/// \file transition_driver.hpp
/// Moves a database to the next term that the keepers chose: releases the old gates,
/// fences a majority of the members, chooses and promotes the primary, and proposes the
/// result to the keepers.
///
/// Every step may be repeated, and a driver may stop at any point: the next driver starts
/// again at a higher term.

#pragma once

#include "fleet_view.hpp"
#include "shard_host.hpp"

#include <papayabridge/events.hpp>
#include <papayabridge/keeper_client.hpp>
#include <papayabridge/rpc.hpp>
#include <set>

namespace papayabridge {

/// Options of a driver. The pointed-to objects must outlive it.
struct transition_driver_options
{
    entry_id self;
    std::shared_ptr<link_table> links;
    view_holder* view = nullptr;
    shard_host* shards = nullptr;
    rpc_clients* clients = nullptr;
    keeper_client* keepers = nullptr;
    event_log* events = nullptr;
};

/// Runs the transitions that the keepers assigned to this entry. Used on the control
/// thread only.
class transition_driver
{
public:
    transition_driver(net::any_io_executor executor, transition_driver_options options);

    /// Starts the transitions of the latest view that are not running yet.
    void start_transitions();

private:
    /// A member that accepted the new term.
    struct fenced_member
    {
        member_id id;
        position reached;
        /// Time since the member last answered a poll of a lower term.
        std::chrono::milliseconds idle{0};
        /// False for a member that lost its data and has not caught up. It lost its
        /// writes and the terms it accepted, so it does not count towards the majority.
        bool complete = true;
    };

    struct fence_round;

    net::awaitable<void> run_transition(database_key database, term to);
    net::awaitable<bool> attempt_transition(const database_record& record);
    net::awaitable<bool> release_gates(const database_record& record);
    net::awaitable<bool> release_gates_at(entry_id gate, database_key database, term to,
                                          bool force, time_point deadline);
    net::awaitable<std::vector<fenced_member>>
    fence_members(const database_record& record);
    net::awaitable<position> query_position(member_record member);
    net::awaitable<void> wait_for_catch_up(const database_record& record);
    net::awaitable<void> fence_in_round(std::shared_ptr<fence_round> round,
                                        member_record member, database_record record);
    net::awaitable<std::optional<fenced_member>> fence_member(member_record member,
                                                              term to, bool founding);
    net::awaitable<bool> promote(const database_record& record, const member_id& chosen);
    const fenced_member* choose_primary(const database_record& record,
                                        const std::vector<fenced_member>& fenced) const;
    std::optional<database_record> current_transition(const database_key& database,
                                                      term to) const;
    void record_event(event_kind kind, const database_record& record, std::string detail);

    net::any_io_executor executor_;
    transition_driver_options options_;
    http_pool pool_;
    std::set<database_key> driving_;
};

} // namespace papayabridge

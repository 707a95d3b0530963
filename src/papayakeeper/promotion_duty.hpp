/// \file promotion_duty.hpp
/// The leading keeper's duty to give each service a primary: it decides when one is to
/// be replaced, prepares the members, and orders the promotion.

#pragma once

#include "member_contact.hpp"
#include "replicator.hpp"

#include <papayabridge/pooled_configuration.hpp>
#include <papayabridge/statement_codec.hpp>

namespace papayabridge {

/// Runs on the control thread.
class promotion_controller
{
public:
    promotion_controller(net::any_io_executor executor, replicator& replicated,
                         const member_codec& codec, promotion_port& port,
                         configuration_decoder decoder, std::string holder);

    void start();
    void stop() { stopping_ = true; }
    /// An entry complains; only the leader acts on it.
    void record_trouble(const member_failure& trouble);

private:
    struct complaint
    {
        member_id member;
        time_point heard;
        time_point since;
    };
    /// Runs of members that left, until it is known that nothing was lost with them.
    struct departure_watch
    {
        std::map<member_id, member_run> seen;
        std::set<member_run> uncovered;
        time_point check_at;
    };
    using contacts = std::vector<std::unique_ptr<member_contact>>;
    using contact_step = std::function<net::awaitable<void>(member_contact&)>;

    net::awaitable<void> run();
    void look_at(const service_name& name, const pooled_service& service);
    void note_departures(const service_name& name);
    std::string reason_to_act(const service_name& name, const pooled_service& service);
    std::size_t complaining(const service_name& name, const member_id& member,
                            time_point& since) const;
    std::size_t entries_up() const;
    bool leads() const;
    unsigned copies_of(const service_name& name);

    net::awaitable<void> act(service_name name, std::string reason);
    net::awaitable<bool> is_confirmed_lost(service_name name, member_id primary,
                                           member_id& silent);
    net::awaitable<void> attempt(service_name name, std::string reason, bool planned,
                                 member_id silent);
    static void note_compared(const service_name& name, control_index token,
                              const contacts& all);
    net::awaitable<contacts> reach_members(service_name name, member_id without);
    net::awaitable<void> on_each(contacts& all, contact_step step);
    net::awaitable<void> stop_receiving(contacts& all, member_id primary,
                                        member_id target);
    net::awaitable<void> resume_receiving(contacts& all);
    net::awaitable<bool> keep_leading(service_name name, member_id primary,
                                      control_index token, contacts& all);
    net::awaitable<member_id> prepare_planned(service_name name, contacts& all,
                                              member_id primary);
    net::awaitable<void> order(service_name name, member_id target, control_index token);
    net::awaitable<bool> has_taken_over(service_name name, member_id target,
                                        control_index token, member_contact* connection);
    net::awaitable<void> check_coverage(service_name name);
    promotion_input question_of(const service_name& name, const contacts& all);
    member_id primary_of(const service_name& name) const;
    net::awaitable<result<control_index>> propose(command change);
    net::awaitable<void> pause(std::chrono::milliseconds time);

    net::any_io_executor executor_;
    replicator& replicated_;
    const member_codec& codec_;
    promotion_port& port_;
    configuration_decoder decoder_;
    std::string holder_;
    bool stopping_ = false;
    std::set<service_name> busy_;
    std::map<service_name, time_point> rest_until_;
    std::map<service_name, std::map<entry_id, complaint>> complaints_;
    std::map<service_name, departure_watch> departures_;
    pooled_configuration configuration_;
};

} // namespace papayabridge

/// \file promotion_controller.hpp
/// Decides when a service needs another primary, prepares its members and orders the
/// promotion.

#pragma once

#include "member_contact.hpp"
#include "replicator.hpp"

#include <papayabridge/pooled_configuration.hpp>
#include <papayabridge/statement_codec.hpp>

namespace papayabridge {

/// Promotes primaries while this keeper leads. Runs on the control thread.
class promotion_controller
{
public:
    promotion_controller(net::any_io_executor executor, replicator& replicated,
                         const member_codec& codec, promotion_port& port,
                         configuration_decoder decoder, std::string holder);

    void start();
    void stop() { stopping_ = true; }
    /// Records that an entry cannot use a member. Has an effect only on the leader.
    void record_trouble(const member_failure& failure);

private:
    /// The last report of an entry that it cannot use a member.
    struct complaint
    {
        member_id member;
        time_point last_reported;
        time_point began;
    };
    /// Runs of members that left while they may have held the only copy of a commit,
    /// until check_coverage() finds the remaining replicas complete or a promotion
    /// has taken effect.
    struct departure_record
    {
        std::map<member_id, member_run> known_runs;
        std::set<member_run> uncovered;
        time_point next_check;
    };
    using contact_list = std::vector<std::unique_ptr<member_contact>>;
    using contact_action = std::function<net::awaitable<void>(member_contact&)>;

    net::awaitable<void> run();
    void check_service(const service_name& name, const pooled_service& service);
    void record_departures(const service_name& name);
    std::string promotion_reason(const service_name& name, const pooled_service& service);
    /// Counts the valid complaints about \p member; \p began becomes the start of the
    /// oldest one.
    std::size_t count_complaints(const service_name& name, const member_id& member,
                                 time_point& began) const;
    std::size_t count_up_entries() const;
    bool is_leading() const;
    unsigned synchronous_copies_of(const service_name& name);

    net::awaitable<void> run_promotion(service_name name, std::string reason);
    net::awaitable<bool> confirm_primary_lost(service_name name, member_id primary,
                                              member_id& silent);
    net::awaitable<void> attempt_promotion(service_name name, std::string reason,
                                           bool planned, member_id silent);
    static void log_comparison(const service_name& name, control_index token,
                               const contact_list& contacts);
    net::awaitable<contact_list> connect_members(service_name name, member_id excluded);
    net::awaitable<void> run_on_each(contact_list& contacts, contact_action action);
    net::awaitable<void> stop_receiving(contact_list& contacts, member_id primary,
                                        member_id target);
    net::awaitable<void> resume_receiving(contact_list& contacts);
    net::awaitable<bool> reaffirm_primary(service_name name, member_id primary,
                                          control_index token, contact_list& contacts);
    net::awaitable<member_id>
    prepare_planned_target(service_name name, contact_list& contacts, member_id primary);
    net::awaitable<void> order_promotion(service_name name, member_id target,
                                         control_index token);
    net::awaitable<bool> has_taken_over(service_name name, member_id target,
                                        control_index token, member_contact* contact);
    net::awaitable<void> check_coverage(service_name name);
    promotion_input build_promotion_input(const service_name& name,
                                          const contact_list& contacts);
    member_id primary_of(const service_name& name) const;
    net::awaitable<result<control_index>> propose(command change);
    net::awaitable<void> sleep_for(std::chrono::milliseconds time);

    net::any_io_executor executor_;
    replicator& replicated_;
    const member_codec& codec_;
    promotion_port& port_;
    configuration_decoder decoder_;
    std::string holder_;
    bool stopping_ = false;
    std::set<service_name> in_progress_;
    std::map<service_name, time_point> retry_at_;
    std::map<service_name, std::map<entry_id, complaint>> complaints_;
    std::map<service_name, departure_record> departures_;
    pooled_configuration configuration_;
};

} // namespace papayabridge

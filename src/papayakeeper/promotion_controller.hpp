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
    /// Records what an entry acknowledged. Has an effect only on the leader.
    void record_commits(const commit_report& report);

private:
    /// The last report of an entry that it cannot use a member.
    struct complaint
    {
        member_id member;
        time_point last_reported;
        time_point began;
    };
    /// What this leader knows of the departed runs of a service; see pool_state.
    struct departure_watch
    {
        /// When this leader first saw that a run had departed.
        std::map<member_run, time_point> seen_at;
        time_point next_check;
    };
    using contact_list = std::vector<std::unique_ptr<member_contact>>;
    using contact_action = std::function<net::awaitable<void>(member_contact&)>;
    /// The state of one attempt.
    struct attempt
    {
        service_name name;
        contact_list contacts;
        /// 0 until the keepers accepted the beginning of the attempt.
        control_index token;
        /// See promotion_input.
        term stop_below;
        std::optional<position> final_position;
        /// The only replica that may receive during a planned change, or while its
        /// outstanding promotion may take effect.
        member_id receiving;
        /// The member that leads, if it is not the service's recorded primary.
        member_id acting_primary;
    };

    net::awaitable<void> run();
    void check_service(const service_name& name, const pooled_service& service);
    bool is_coverage_check_due(const service_name& name);
    std::string promotion_reason(const service_name& name, const pooled_service& service);
    /// Counts the valid complaints about \p member; \p began becomes the start of the
    /// oldest one.
    std::size_t count_complaints(const service_name& name, const member_id& member,
                                 time_point& began) const;
    std::size_t count_up_entries() const;
    /// Keeps the recorded suspicion of the service's primary up to date.
    void update_suspicion(const service_name& name, const pooled_service& service);
    net::awaitable<void> record_suspicion(suspect_primary change);
    acknowledged_commits acknowledged_of(const service_name& name) const;
    bool is_leading() const;
    unsigned synchronous_copies_of(const service_name& name);

    net::awaitable<void> run_promotion(service_name name, std::string reason);
    net::awaitable<bool> confirm_primary_lost(service_name name, member_id primary,
                                              member_id& silent);
    net::awaitable<void> attempt_promotion(service_name name, std::string reason,
                                           bool planned, member_id silent);
    /// Prepares the change; returns the member to promote, or an empty id if none is
    /// safe.
    net::awaitable<member_id> prepare_target(attempt& current, promotion_kind kind);
    net::awaitable<member_id> prepare_planned_target(attempt& current);
    net::awaitable<member_id> prepare_replacement(attempt& current, bool steps_down);
    /// Whether a safe target is likely once a primary that leads has stepped down.
    net::awaitable<bool> can_replace_leading(attempt& current);
    /// Ends an attempt without a target.
    net::awaitable<void> abandon(attempt& current, member_id primary);
    void log_not_safe(const attempt& current);
    static void log_outstanding(const attempt& current, const promotion_input& input);
    static void log_comparison(const attempt& current);
    net::awaitable<contact_list> connect_members(service_name name, member_id excluded);
    net::awaitable<void> run_on_each(contact_list& contacts, contact_action action);
    net::awaitable<void> stop_receiving(attempt& current);
    /// Stops replicas that were reported since the attempt began. Returns how many were.
    net::awaitable<std::size_t> stop_new_members(attempt& current);
    /// False if this keeper may have lost the lead; then it resumes nothing.
    net::awaitable<bool> resume_receiving(attempt& current);
    net::awaitable<bool> resume_member(attempt& current, member_id member);
    /// Whether a majority of the keepers has just accepted that this one leads. Until
    /// `lead_proved_at_ + lead_validity` no other keeper can lead.
    net::awaitable<bool> prove_lead();
    /// Makes the primary a replica and records where its log ends.
    net::awaitable<void> step_down_primary(attempt& current);
    /// Waits until \p target, or any replica if it is empty, has received \p needed.
    /// Gives up after \p patience without progress.
    net::awaitable<bool> wait_for_position(attempt& current, member_id target,
                                           position needed,
                                           std::chrono::milliseconds patience);
    /// Orders \p primary, which leads or led last, again; then lets the replicas receive.
    net::awaitable<bool> keep_primary(attempt& current, member_id primary);
    /// Waits until \p primary leads and the order of no rival can take effect any more.
    net::awaitable<bool> outlast_orders(attempt& current, member_id primary,
                                        std::vector<member_id> rivals);
    static bool is_answering(const attempt& current, const member_id& member);
    /// Records the target of the attempt's order, before it is sent.
    net::awaitable<bool> record_target(const attempt& current, member_id target);
    /// Whether no replica that was reported before the target was recorded holds more.
    net::awaitable<bool> confirm_target(attempt& current, promotion_kind kind,
                                        member_id target);
    net::awaitable<promotion_answer> send_order(const attempt& current, member_id target);
    net::awaitable<void> order_promotion(attempt& current, member_id target);
    net::awaitable<bool> has_taken_over(const attempt& current, member_id target,
                                        member_contact* contact);
    bool settles_orders(const service_name& name, const member_id& leader) const;
    net::awaitable<void> check_coverage(service_name name);
    /// The departed runs of the service that can acknowledge nothing more.
    net::awaitable<std::vector<member_run>> find_ended_runs(service_name name);
    std::size_t count_departed(const service_name& name) const;
    promotion_input build_promotion_input(const attempt& current);
    const promotion* pending_of(const service_name& name) const;
    /// Targets of orders of earlier attempts that may still take effect. Replicas that
    /// receive until then would acknowledge commits that such a target lacks.
    std::vector<member_id> outstanding_targets(const attempt& current) const;
    member_id primary_of(const service_name& name) const;
    /// The run in which the recorded primary came to lead.
    member_run primary_run(const service_name& name) const;
    net::awaitable<result<control_index>> propose(command change);
    net::awaitable<void> sleep_for(std::chrono::milliseconds time);

    net::any_io_executor executor_;
    replicator& replicated_;
    const member_codec& codec_;
    promotion_port& port_;
    configuration_decoder decoder_;
    std::string holder_;
    bool stopping_ = false;
    time_point lead_proved_at_;
    std::set<service_name> in_progress_;
    std::map<service_name, time_point> retry_at_;
    std::map<service_name, std::map<entry_id, complaint>> complaints_;
    std::map<service_name, departure_watch> departures_;
    /// Since when this leader knows that its suspicion of a service's primary is
    /// recorded.
    std::map<service_name, time_point> suspected_since_;
    std::set<service_name> recording_suspicion_;
    std::map<service_name, std::map<entry_id, commit_report>> commit_reports_;
    pooled_configuration configuration_;
};

} // namespace papayabridge

/// \file commit_verifier.hpp
/// Asks replicas whether they hold a commit before it is acknowledged, where
/// core/promotion/commit_proof.hpp requires it.

#pragma once

#include "core/promotion/commit_proof.hpp"
#include "member_pool.hpp"

#include <set>

namespace papayabridge {

/// The references must outlive the object and its pending calls. Must be used on one
/// thread.
class commit_verifier
{
public:
    commit_verifier(net::any_io_executor executor, member_pool& pool,
                    const member_codec& codec)
        : executor_(std::move(executor)), pool_(pool), codec_(codec)
    {
    }

    /// Adopts the services and members of \p view.
    void update(std::shared_ptr<const pool_view> view);
    /// Records that the view included, at \p when, everything that the keepers had
    /// accepted.
    void record_complete_view(time_point when);
    /// Whether the commit at \p committed, which \p member has acknowledged, is held by
    /// the replicas that have to hold it. False if that is not known at \p deadline.
    net::awaitable<bool> verify(service_name service, member_id member,
                                position committed, time_point deadline);
    /// The furthest commit of \p service that needed no proof. Empty if there was none.
    std::optional<position> furthest_unproved(const service_name& service) const;

private:
    struct witness
    {
        std::optional<position> held;
        bool is_asked = false;
        time_point next_question;
        /// For a member whose statements go through gates, so that this entry's share of
        /// connections has none.
        std::unique_ptr<member_connection> connection;
    };

    commit_situation describe(const viewed_service& service,
                              const member_id& member) const;
    proof_state evaluate_proof(const viewed_service& service, const commit_proof& proof,
                               position committed) const;
    void question_replicas(const service_name& name, const viewed_service& service,
                           const commit_proof& proof);
    net::awaitable<void> question_replica(service_name service, viewed_member replica,
                                          bool through_gates);
    net::awaitable<std::optional<member_status>>
    query_status(service_name service, viewed_member replica, bool through_gates);
    net::awaitable<result<statement_answer>>
    exchange_status(member_connection& connection, time_point deadline);
    std::optional<member_status> status_in(const member_id& member,
                                           const result<statement_answer>& answer) const;
    net::awaitable<void> wait_for_answer(time_point deadline);

    net::any_io_executor executor_;
    member_pool& pool_;
    const member_codec& codec_;
    std::shared_ptr<const pool_view> view_ = std::make_shared<pool_view>();
    std::optional<time_point> complete_at_;
    std::map<member_run, witness> witnesses_;
    std::map<service_name, position> unproved_;
    std::set<net::steady_timer*> waiting_;
};

} // namespace papayabridge

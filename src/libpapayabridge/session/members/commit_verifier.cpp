#include "commit_verifier.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>

namespace papayabridge {

namespace {

// A replica in another region answers within this time, even if its slots are busy.
constexpr std::chrono::milliseconds question_timeout{300};
// Answers serve all commits that wait, so a replica is asked no more often than this.
constexpr std::chrono::milliseconds question_interval{15};
// Stands for the age of a view that was never known to be complete.
constexpr std::chrono::hours no_news{1};

std::string list_of(const std::vector<member_id>& members)
{
    std::string text;
    for (const auto& member : members) {
        text += (text.empty() ? "" : " ") + member.str();
    }
    return text;
}

} // namespace

void commit_verifier::update(std::shared_ptr<const pool_view> view)
{
    view_ = std::move(view);
    std::erase_if(witnesses_, [&](const auto& known) {
        bool is_member = false;
        for (const auto& [name, service] : view_->services) {
            const auto* member = service.member(known.first.id);
            is_member = is_member || (member != nullptr && member->run == known.first);
        }
        return !is_member && !known.second.is_asked;
    });
}

std::optional<position>
commit_verifier::furthest_unproved(const service_name& service) const
{
    auto found = unproved_.find(service);
    return found == unproved_.end() ? std::nullopt : std::optional(found->second);
}

void commit_verifier::record_complete_view(time_point when)
{
    complete_at_ = std::max(complete_at_.value_or(when), when);
}

commit_situation commit_verifier::describe(const viewed_service& service,
                                           const member_id& member) const
{
    commit_situation situation{.committed_by = member,
                               .primary = service.primary,
                               .copies = service.limits.synchronous_replicas,
                               .is_changing = service.is_changing,
                               .is_suspected = service.suspected_since != control_index(),
                               .targets = service.promotion_targets,
                               .age = no_news};
    for (const auto& known : service.members) {
        if (known.run.id != service.primary) {
            situation.replicas.push_back(known.run.id);
        }
    }
    if (complete_at_) {
        situation.age = std::chrono::duration_cast<std::chrono::milliseconds>(
            steady_clock::now() - *complete_at_);
    }
    return situation;
}

proof_state commit_verifier::evaluate_proof(const viewed_service& service,
                                            const commit_proof& proof,
                                            position committed) const
{
    std::map<member_id, position> held;
    for (const auto& member : service.members) {
        auto known = witnesses_.find(member.run);
        if (known != witnesses_.end() && known->second.held) {
            held[member.run.id] = *known->second.held;
        }
    }
    return check_proof(proof, committed, held);
}

net::awaitable<bool> commit_verifier::verify(service_name service, member_id member,
                                             position committed, time_point deadline)
{
    bool was_required = false;
    while (true) {
        // The view may change while this waits.
        auto view = view_;
        const auto* known = view->service(service);
        if (known == nullptr) {
            co_return true;
        }
        auto situation = describe(*known, member);
        auto proof = required_proof(situation);
        if (proof.count == 0 && was_required) {
            // The change is over, but what led meanwhile may have rolled the commit back.
            proof = {.replicas = {situation.primary}, .count = 1};
        }
        was_required = proof.count != 0;
        auto state = evaluate_proof(*known, proof, committed);
        if (state == proof_state::holds) {
            if (proof.count == 0) {
                auto& furthest = unproved_[service];
                furthest = std::max(furthest, committed);
            }
            co_return true;
        }
        if (state == proof_state::impossible || steady_clock::now() >= deadline) {
            log_line(log_event::commit_not_proven,
                     {{"service", service.str()},
                      {"member", member.str()},
                      {"received", committed.str()},
                      {"targets", list_of(situation.targets)},
                      {"replicas", list_of(proof.replicas)},
                      {"age_us", log_us(situation.age)}});
            co_return false;
        }
        question_replicas(service, *known, proof);
        co_await wait_for_answer(deadline);
    }
}

void commit_verifier::question_replicas(const service_name& name,
                                        const viewed_service& service,
                                        const commit_proof& proof)
{
    auto now = steady_clock::now();
    for (const auto& id : proof.replicas) {
        const auto* replica = service.member(id);
        if (replica == nullptr) {
            continue;
        }
        auto& witness = witnesses_[replica->run];
        if (!witness.is_asked && now >= witness.next_question) {
            witness.is_asked = true;
            net::co_spawn(executor_,
                          question_replica(name, *replica, service.through_gates),
                          net::detached);
        }
    }
}

net::awaitable<void> commit_verifier::question_replica(service_name service,
                                                       viewed_member replica,
                                                       bool through_gates)
{
    auto status = co_await query_status(std::move(service), replica, through_gates);
    auto& witness = witnesses_[replica.run];
    witness.is_asked = false;
    witness.next_question = steady_clock::now() + question_interval;
    if (status) {
        witness.held = status->received;
    }
    for (auto* waiting : waiting_) {
        waiting->cancel();
    }
}

net::awaitable<std::optional<member_status>>
commit_verifier::query_status(service_name service, viewed_member replica,
                              bool through_gates)
{
    static const session_values no_values;
    auto deadline = steady_clock::now() + question_timeout;
    if (!through_gates) {
        connection_request wanted{.service = service,
                                  .members = {replica.run.id},
                                  .session = &no_values,
                                  .wait_until = deadline};
        auto taken = co_await pool_.acquire(std::move(wanted));
        if (!taken) {
            co_return std::nullopt;
        }
        auto connection = std::move(taken.value());
        auto answer = co_await exchange_status(*connection.operator->(), deadline);
        if (answer && answer.value().phase == session_phase::idle) {
            connection.release();
        }
        co_return status_in(replica.run.id, answer);
    }
    auto connection = std::move(witnesses_[replica.run].connection);
    if (!connection || !connection->is_reusable()) {
        member_address address{
            .endpoint = replica.endpoint, .service = service, .id = replica.run.id};
        auto opened = co_await member_connection::open(executor_, codec_,
                                                       std::move(address), deadline);
        if (!opened) {
            co_return std::nullopt;
        }
        connection = std::move(opened.value());
    }
    auto answer = co_await exchange_status(*connection, deadline);
    if (answer && !waiting_.empty()) {
        witnesses_[replica.run].connection = std::move(connection);
    }
    co_return status_in(replica.run.id, answer);
}

net::awaitable<result<statement_answer>>
commit_verifier::exchange_status(member_connection& connection, time_point deadline)
{
    std::string question;
    codec_.encode_status(question);
    auto sent = co_await connection.send(std::move(question), deadline);
    if (!sent) {
        co_return sent.error();
    }
    auto answer = co_await connection.receive(deadline);
    co_return answer;
}

std::optional<member_status>
commit_verifier::status_in(const member_id& member,
                           const result<statement_answer>& answer) const
{
    if (!answer || answer.value().failure || answer.value().rows.empty()) {
        return std::nullopt;
    }
    auto status = codec_.decode_status(answer.value().rows.front());
    if (!status) {
        log_line(log_event::member_status_unreadable,
                 {{"member", member.str()}, {"detail", status.error().detail}});
        return std::nullopt;
    }
    return status.value();
}

// Until a replica has answered, at most until the next may be asked.
net::awaitable<void> commit_verifier::wait_for_answer(time_point deadline)
{
    net::steady_timer timer(executor_);
    timer.expires_at(std::min(deadline, steady_clock::now() + question_interval));
    waiting_.insert(&timer);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    waiting_.erase(&timer);
}

} // namespace papayabridge

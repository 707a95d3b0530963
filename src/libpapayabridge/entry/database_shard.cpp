#include "database_shard.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace papayabridge {

namespace {

// In a group of up to 3 members the primary and one replica are a majority, so whatever a
// replica holds is held by a majority.
constexpr unsigned max_group_size_for_replica_reads = 3;
constexpr std::chrono::milliseconds unforced_release_wait{50};
constexpr std::chrono::milliseconds sample_demand_window{3000};

std::string term_text(term at)
{
    return "term " + std::to_string(at.value());
}

} // namespace

database_shard::database_shard(net::any_io_executor executor,
                               database_shard_options options)
    : executor_(std::move(executor)), options_(std::move(options))
{
    record_.key = options_.database;
}

bool database_shard::holds_primary_gate() const
{
    return record_.primary_gate() == options_.self && !options_.self.empty();
}

void database_shard::apply(const database_record& record, const service_settings& service)
{
    bool new_term = record.term != record_.term;
    bool transition_withdrawn = released_ && !record.pending && !new_term;
    record_ = record;
    service_ = service;
    for (const auto& [id, member] : record.members) {
        auto& gate = gates_[id];
        bool gate_here = member.gate == options_.self && record.term != term();
        bool address_changed = gate && (gate->member().endpoint != member.endpoint ||
                                        gate->member().connections != member.connections);
        if (gate && (!gate_here || address_changed)) {
            gate->close();
            gate.reset();
        }
        if (!gate_here) {
            gates_.erase(id);
            continue;
        }
        if (!gate) {
            member_gate_options gate_options;
            gate_options.database = record.key;
            gate_options.member = member;
            gate_options.service = service;
            gate_options.strategy = options_.strategy;
            gate_options.links = options_.links;
            gate_options.events = options_.events;
            gate = std::make_shared<member_gate>(executor_, gate_options);
        }
        if (!released_ || new_term || transition_withdrawn) {
            gate->open(record.term, member, service);
        }
    }
    if (new_term || transition_withdrawn) {
        released_ = false;
    }
    if (!holds_primary_gate()) {
        stop_quorum_tracking();
    } else if (!quorum_ || quorum_->term() != record.term) {
        start_quorum_tracking(record);
    }
    watch_new_members();
    changed_.notify();
}

void database_shard::start_quorum_tracking(const database_record& record)
{
    quorum_ = std::make_shared<quorum_tracker>(record.term, record.group_size);
    watched_.clear();
    options_.events->record({.kind = event_kind::gate_opened,
                             .database = record.key.str(),
                             .detail = "the primary " + record.primary.str() +
                                       " is served here under " +
                                       term_text(record.term)});
}

// Members may announce themselves long after the term began, so this runs at each update.
void database_shard::watch_new_members()
{
    if (!quorum_) {
        return;
    }
    for (const auto& [id, member] : record_.members) {
        if (watched_.insert(id).second) {
            net::co_spawn(executor_, watch_member(id, quorum_), net::detached);
        }
    }
}

void database_shard::stop_quorum_tracking()
{
    if (quorum_) {
        options_.events->record({.kind = event_kind::gate_closed,
                                 .database = record_.key.str(),
                                 .detail = "the primary is no longer served here under " +
                                           term_text(quorum_->term())});
    }
    quorum_.reset();
    watched_.clear();
}

bool database_shard::has_lease() const
{
    return quorum_ && !released_ && quorum_->has_lease(steady_clock::now());
}

std::optional<primary_sample> database_shard::sample_primary() const
{
    if (!has_lease()) {
        return std::nullopt;
    }
    return primary_sample{.term = quorum_->term(),
                          .acknowledged =
                              std::max(acknowledged_, quorum_->majority_position())};
}

void database_shard::add_sample(time_point asked_at, const primary_sample& sample)
{
    samples_.add(asked_at, sample.term, sample.acknowledged);
}

bool database_shard::needs_samples() const
{
    return steady_clock::now() - last_age_bounded_read_ < sample_demand_window;
}

void database_shard::set_leaving(const member_id& id)
{
    auto found = gates_.find(id);
    if (found != gates_.end()) {
        auto member = found->second->member();
        member.condition = member_condition::leaving;
        found->second->open(record_.term, member, service_);
    }
}

bool database_shard::has_transaction(const std::string& id) const
{
    return std::any_of(gates_.begin(), gates_.end(), [&id](const auto& gate) {
        return gate.second->has_transaction(id);
    });
}

std::size_t database_shard::waiting() const
{
    std::size_t sum = 0;
    for (const auto& [id, gate] : gates_) {
        sum += gate->waiting();
    }
    return sum;
}

unsigned database_shard::running() const
{
    unsigned sum = 0;
    for (const auto& [id, gate] : gates_) {
        sum += gate->running();
    }
    return sum;
}

void database_shard::close()
{
    for (auto& [id, gate] : gates_) {
        gate->close();
    }
    gates_.clear();
    stop_quorum_tracking();
    changed_.notify();
}

// --- Statements ---

std::shared_ptr<member_gate> database_shard::gate_for(const gate_request& request) const
{
    if (!request.transaction.empty()) {
        for (const auto& [id, gate] : gates_) {
            if (gate->has_transaction(request.transaction)) {
                return gate;
            }
        }
        return nullptr;
    }
    auto found = gates_.find(request.member.empty() ? record_.primary : request.member);
    return found == gates_.end() ? nullptr : found->second;
}

net::awaitable<result<gate_answer>> database_shard::execute(gate_request request)
{
    auto self = shared_from_this();
    auto gate = gate_for(request);
    if (!gate) {
        if (!request.transaction.empty()) {
            co_return fail(
                error_kind::transaction_lost,
                "no such transaction is open; it was rolled back or never begun");
        }
        co_return fail(error_kind::superseded,
                       "this entry does not hold the member's gate");
    }
    bool primary = is_primary(gate->member().id);
    bool write = request.mode != statement_mode::read;
    if (write && !primary && request.transaction.empty()) {
        co_return fail(error_kind::superseded, "this member is not the primary");
    }
    if (primary && request.transaction.empty()) {
        auto lease = co_await wait_for_lease(request.deadline);
        if (!lease) {
            co_return lease.error();
        }
    }
    auto fresh = require_freshness(request, primary);
    if (!fresh) {
        co_return fresh.error();
    }
    auto outcome = co_await gate->execute(request);
    if (!outcome) {
        co_return outcome.error();
    }
    auto& answer = outcome.value().answer;
    answer.primary = primary;
    if (!answer.transaction.empty()) {
        answer.transaction = options_.self.str() + "~" + answer.transaction;
    }
    if (primary) {
        bool changes_data = request.mode == statement_mode::write ||
                            request.mode == statement_mode::commit;
        auto confirmed =
            co_await wait_for_majority(outcome.value(), changes_data, request.deadline);
        if (!confirmed) {
            co_return confirmed.error();
        }
    }
    auto aged = check_answer_age(request, answer.reached, primary);
    if (!aged) {
        co_return aged.error();
    }
    co_return std::move(answer);
}

// Nothing is sent before the lease is valid, so a statement that times out here counts as
// "not run".
net::awaitable<result<void>> database_shard::wait_for_lease(time_point deadline)
{
    while (true) {
        if (!quorum_) {
            co_return fail(error_kind::superseded,
                           "this entry no longer holds the primary's gate");
        }
        if (has_lease() || released_) {
            co_return success();
        }
        if (steady_clock::now() >= deadline) {
            co_return fail(error_kind::no_primary,
                           "no majority of the members confirmed the primary in time");
        }
        co_await changed_.wait(deadline);
    }
}

result<void> database_shard::require_freshness(gate_request& request, bool primary)
{
    bool replica_read = request.mode == statement_mode::read && !primary;
    if (replica_read && record_.group_size > max_group_size_for_replica_reads) {
        return fail(
            error_kind::too_stale,
            "in a group of this size a replica may hold writes that no majority holds");
    }
    if (replica_read) {
        // A replica that followed a superseded primary may hold writes that no majority
        // ever held.
        request.follows_term = record_.term;
    }
    if (request.mode != statement_mode::read || primary || !request.accepted_age) {
        return success();
    }
    if (request.accepted_age->count() == 0) {
        return fail(error_kind::too_stale, "a replica does not answer fresh reads");
    }
    last_age_bounded_read_ = steady_clock::now();
    auto required =
        samples_.min_position_for(*request.accepted_age, last_age_bounded_read_);
    if (!required) {
        return fail(error_kind::too_stale,
                    "no sample of the primary's position is within the accepted age");
    }
    request.min_position = std::max(request.min_position, *required);
    return success();
}

result<void> database_shard::check_answer_age(const gate_request& request,
                                              position reached, bool primary) const
{
    if (request.mode != statement_mode::read || primary || !request.accepted_age) {
        return success();
    }
    // Checked again after the answer, as the process may have stalled since the request.
    auto age = samples_.max_age_of(reached, steady_clock::now());
    if (!age || *age > *request.accepted_age) {
        return fail(error_kind::too_stale,
                    "the answer exceeded the accepted age in transit");
    }
    return success();
}

// Delays the answer until a majority holds its position. The term must not change
// meanwhile.
net::awaitable<result<void>> database_shard::wait_for_majority(member_answer& received,
                                                               bool write,
                                                               time_point deadline)
{
    auto current = quorum_;
    auto problem =
        fail(write ? error_kind::outcome_unknown : error_kind::superseded,
             "the term was superseded before a majority held the answer's position");
    auto reached = received.answer.reached;
    if (!current || current->term() != received.term) {
        co_return problem;
    }
    current->record_report(record_.primary, reached, received.sent_at);
    ++awaiting_majority_;
    bool confirmed = false;
    while (quorum_ == current) {
        bool held = !service_.majority_durable || current->majority_position() >= reached;
        if (held && has_lease()) {
            confirmed = true;
            break;
        }
        if (steady_clock::now() >= deadline) {
            problem.detail = "no majority of the members held the answer's position "
                             "before the deadline";
            break;
        }
        co_await changed_.wait(deadline);
    }
    --awaiting_majority_;
    if (!confirmed) {
        co_return problem;
    }
    if (write) {
        acknowledged_ = std::max(acknowledged_, reached);
    }
    co_return success();
}

net::awaitable<bool> database_shard::release(term next, bool force, time_point deadline)
{
    auto self = shared_from_this();
    if (record_.term >= next || released_) {
        co_return released_;
    }
    auto until = force ? deadline
                       : std::min(deadline, steady_clock::now() + unforced_release_wait);
    auto stopping = gates_to_stop();
    for (auto& gate : stopping) {
        gate->pause();
    }
    auto all_idle = [this, &stopping] {
        return awaiting_majority_ == 0 &&
               std::all_of(stopping.begin(), stopping.end(),
                           [](const auto& gate) { return gate->is_idle(); });
    };
    while (!all_idle() && steady_clock::now() < until && record_.term < next) {
        co_await pause_for(std::chrono::milliseconds(1));
    }
    if (record_.term >= next) {
        co_return true;
    }
    if (all_idle() || force) {
        released_ = true;
        options_.events->record({.kind = event_kind::gate_released,
                                 .database = record_.key.str(),
                                 .detail = "gates stopped for " + term_text(next)});
        co_return true;
    }
    for (auto& gate : stopping) {
        gate->resume();
    }
    co_return false;
}

// Stops the primary's gate and the gates that move to another entry. Replicas that stay
// here continue: their reads are safe by position in any term.
std::vector<std::shared_ptr<member_gate>> database_shard::gates_to_stop() const
{
    std::vector<std::shared_ptr<member_gate>> stopping;
    for (const auto& [id, gate] : gates_) {
        bool moves = false;
        if (record_.pending) {
            auto next = record_.pending->gates.find(id);
            moves = next != record_.pending->gates.end() && next->second != options_.self;
        }
        if (is_primary(id) || moves) {
            stopping.push_back(gate);
        }
    }
    return stopping;
}

} // namespace papayabridge

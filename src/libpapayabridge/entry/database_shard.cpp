#include "database_shard.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace papayabridge {

namespace {

// With at most this many members, whatever a replica holds a majority holds: the primary
// and the replica are one.
constexpr unsigned replica_implies_majority = 3;
constexpr std::chrono::milliseconds release_patience{50};
constexpr std::chrono::milliseconds sample_interest{3000};

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

bool database_shard::holds_primary() const
{
    return record_.primary_gate() == options_.self && !options_.self.empty();
}

void database_shard::apply(const database_record& record, const service_settings& service)
{
    bool new_term = record.term != record_.term;
    bool withdrawn = released_ && !record.pending && !new_term;
    record_ = record;
    service_ = service;
    for (const auto& [id, member] : record.members) {
        auto& gate = gates_[id];
        bool mine = member.gate == options_.self && record.term != term();
        bool moved = gate && (gate->member().endpoint != member.endpoint ||
                              gate->member().connections != member.connections);
        if (gate && (!mine || moved)) {
            gate->close();
            gate.reset();
        }
        if (!mine) {
            gates_.erase(id);
            continue;
        }
        if (!gate) {
            member_gate_options made;
            made.database = record.key;
            made.member = member;
            made.service = service;
            made.strategy = options_.strategy;
            made.links = options_.links;
            made.events = options_.events;
            gate = std::make_shared<member_gate>(executor_, made);
        }
        if (!released_ || new_term || withdrawn) {
            gate->open(record.term, member, service);
        }
    }
    if (new_term || withdrawn) {
        released_ = false;
    }
    if (!holds_primary()) {
        close_primary();
    } else if (!coverage_ || coverage_->term() != record.term) {
        open_primary(record);
    }
    watch_new_members();
    changed_.notify();
}

void database_shard::open_primary(const database_record& record)
{
    coverage_ = std::make_shared<quorum_tracker>(record.term, record.group_size);
    watched_.clear();
    options_.events->record({.kind = event_kind::gate_opened,
                             .database = record.key.str(),
                             .detail = "the primary " + record.primary.str() +
                                       " is served here under " +
                                       term_text(record.term)});
}

// Members may announce themselves long after the term began.
void database_shard::watch_new_members()
{
    if (!coverage_) {
        return;
    }
    for (const auto& [id, member] : record_.members) {
        if (watched_.insert(id).second) {
            net::co_spawn(executor_, watch_member(id, coverage_), net::detached);
        }
    }
}

void database_shard::close_primary()
{
    if (coverage_) {
        options_.events->record({.kind = event_kind::gate_closed,
                                 .database = record_.key.str(),
                                 .detail = "the primary is no longer served here under " +
                                           term_text(coverage_->term())});
    }
    coverage_.reset();
    watched_.clear();
}

bool database_shard::leased() const
{
    return coverage_ && !released_ && coverage_->has_lease(steady_clock::now());
}

std::optional<primary_sample> database_shard::sample() const
{
    if (!leased()) {
        return std::nullopt;
    }
    return primary_sample{.term = coverage_->term(),
                          .acknowledged =
                              std::max(acknowledged_, coverage_->majority_position())};
}

void database_shard::learn(time_point asked_at, const primary_sample& sample)
{
    samples_.add(asked_at, sample.term, sample.acknowledged);
}

bool database_shard::wants_samples() const
{
    return steady_clock::now() - last_aged_read_ < sample_interest;
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
    close_primary();
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
        co_return fail(error_kind::superseded, "this entry is not the member's gate");
    }
    bool primary = is_primary(gate->member().id);
    bool write = request.mode != statement_mode::read;
    if (write && !primary && request.transaction.empty()) {
        co_return fail(error_kind::superseded, "this member is not the primary");
    }
    if (primary && request.transaction.empty()) {
        auto leased = co_await wait_for_lease(request.deadline);
        if (!leased) {
            co_return leased.error();
        }
    }
    auto fresh = require_freshness(request, primary);
    if (!fresh) {
        co_return fresh.error();
    }
    auto got = co_await gate->execute(request);
    if (!got) {
        co_return got.error();
    }
    auto& answer = got.value().answer;
    answer.primary = primary;
    if (!answer.transaction.empty()) {
        answer.transaction = options_.self.str() + "~" + answer.transaction;
    }
    if (primary) {
        bool effect = request.mode == statement_mode::write ||
                      request.mode == statement_mode::commit;
        auto settled = co_await settle(got.value(), effect, request.deadline);
        if (!settled) {
            co_return settled.error();
        }
    }
    auto aged = check_age(request, answer.reached, primary);
    if (!aged) {
        co_return aged.error();
    }
    co_return std::move(answer);
}

// A write that waits for its lease was not sent yet, so that giving up is "not run".
net::awaitable<result<void>> database_shard::wait_for_lease(time_point deadline)
{
    while (true) {
        if (!coverage_) {
            co_return fail(error_kind::superseded, "the primary's gate moved");
        }
        if (leased() || released_) {
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
    if (replica_read && record_.group_size > replica_implies_majority) {
        return fail(error_kind::too_stale,
                    "a replica of so large a group may hold what no majority holds");
    }
    if (replica_read) {
        // A superseded primary may hold what no majority held.
        request.follows = record_.term;
    }
    if (request.mode != statement_mode::read || primary || !request.accepted_age) {
        return success();
    }
    if (request.accepted_age->count() == 0) {
        return fail(error_kind::too_stale, "a replica does not answer fresh reads");
    }
    last_aged_read_ = steady_clock::now();
    auto required = samples_.min_position_for(*request.accepted_age, last_aged_read_);
    if (!required) {
        return fail(error_kind::too_stale,
                    "the primary was not heard of within the accepted age");
    }
    request.min_position = std::max(request.min_position, *required);
    return success();
}

result<void> database_shard::check_age(const gate_request& request, position reached,
                                       bool primary) const
{
    if (request.mode != statement_mode::read || primary || !request.accepted_age) {
        return success();
    }
    // Again, as the process may have been held up since it asked.
    auto age = samples_.max_age_of(reached, steady_clock::now());
    if (!age || *age > *request.accepted_age) {
        return fail(error_kind::too_stale, "the answer grew too old on the way");
    }
    return success();
}

// Holds the answer until a majority holds what it shows, under the term it ran under.
net::awaitable<result<void>> database_shard::settle(member_answer& got, bool write,
                                                    time_point deadline)
{
    auto at = coverage_;
    auto lost = fail(write ? error_kind::outcome_unknown : error_kind::superseded,
                     "the term was superseded before a majority held it");
    auto reached = got.answer.reached;
    if (!at || at->term() != got.term) {
        co_return lost;
    }
    at->record_report(record_.primary, reached, got.sent_at);
    ++settling_;
    bool settled = false;
    while (coverage_ == at) {
        bool held = !service_.majority_durable || at->majority_position() >= reached;
        if (held && leased()) {
            settled = true;
            break;
        }
        if (steady_clock::now() >= deadline) {
            lost.detail = "no majority of the members held it before the deadline";
            break;
        }
        co_await changed_.wait(deadline);
    }
    --settling_;
    if (!settled) {
        co_return lost;
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
    auto until =
        force ? deadline : std::min(deadline, steady_clock::now() + release_patience);
    auto stopping = gates_that_stop();
    for (auto& gate : stopping) {
        gate->pause();
    }
    auto quiet = [this, &stopping] {
        return settling_ == 0 &&
               std::all_of(stopping.begin(), stopping.end(),
                           [](const auto& gate) { return gate->quiet(); });
    };
    while (!quiet() && steady_clock::now() < until && record_.term < next) {
        co_await pause_for(std::chrono::milliseconds(1));
    }
    if (record_.term >= next) {
        co_return true;
    }
    if (quiet() || force) {
        released_ = true;
        options_.events->record({.kind = event_kind::gate_released,
                                 .database = record_.key.str(),
                                 .detail = "work stopped for " + term_text(next)});
        co_return true;
    }
    for (auto& gate : stopping) {
        gate->resume();
    }
    co_return false;
}

// The primary's gate, and those that move to another entry. Replicas that stay here go on
// answering: their reads are safe by position, whatever the term.
std::vector<std::shared_ptr<member_gate>> database_shard::gates_that_stop() const
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

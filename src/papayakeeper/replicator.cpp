#include "replicator.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <openssl/rand.h>
#include <papayabridge/daemon.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds handover_timeout{600};
constexpr std::chrono::milliseconds storage_retry_interval{200};
// Messages are dropped, as if lost, while more than this waits for a write.
constexpr std::size_t max_pending_output = 512;
// A state that was complete within this many election timeouts counts as current. Much
// longer than the heartbeats and writes of a healthy group take.
constexpr int max_state_age_timeouts = 2;
// Entries before a snapshot that stay in memory for followers slightly behind it.
constexpr std::uint64_t max_kept_entries = 100;

std::uint64_t random_number()
{
    std::uint64_t number = 0;
    RAND_bytes(reinterpret_cast<unsigned char*>(&number), sizeof number);
    return number;
}

} // namespace

replicator::replicator(net::any_io_executor control, net::any_io_executor storage,
                       const keeper_settings& settings,
                       std::shared_ptr<rpc_clients> clients, event_log& events,
                       file_calls& files)
    : control_(control), storage_(std::move(storage)), settings_(settings),
      events_(events), network_(control, settings, std::move(clients)),
      log_(files, settings.data), applied_(control), proposals_(control),
      duties_({.entry_timeout = settings.entry_timeout,
               .transition_timeout = settings.transition_timeout}),
      output_timer_(control), currency_changed_at_(steady_clock::now()),
      started_(steady_clock::now())
{
    seeds_ = settings.seeds;
}

void replicator::open()
{
    finish_open(log_.open(keeper_incarnation(random_number())));
}

void replicator::finish_open(result<recovered_log> opened)
{
    if (!opened) {
        storage_damaged_ = log_.is_damaged();
        fail_storage(opened.error());
        return;
    }
    opened_ = true;
    incarnation_ = opened.value().incarnation;
    if (opened.value().tail_truncated) {
        log_line(log_event::log_tail_cut, {{"folder", settings_.data}});
    }
    recovered_ = std::move(opened.value().state);
    recover_storage();
}

void replicator::start()
{
    if (storage_damaged_) {
        return;
    }
    if (!opened_) {
        net::co_spawn(control_, reopen(), net::detached);
    } else if (recovered_) {
        start_consensus(std::move(*recovered_));
    } else {
        net::co_spawn(control_, await_genesis(), net::detached);
    }
}

net::awaitable<void> replicator::reopen()
{
    while (!opened_ && !storage_damaged_) {
        co_await sleep_for(storage_retry_interval);
        std::optional<result<recovered_log>> opened;
        storage_task task = [this, &opened]() -> result<void> {
            opened.emplace(log_.open(keeper_incarnation(random_number())));
            return success();
        };
        static_cast<void>(co_await run_on_storage(storage_, std::move(task)));
        finish_open(std::move(*opened));
    }
    start();
}

void replicator::start_consensus(recovered_state recovered)
{
    initial_voters_ = recovered.snapshot.voters;
    set_peer_endpoints(recovered);
    snapshot_index_ = recovered.snapshot.index;
    auto installed = install(recovered.snapshot);
    if (!installed) {
        storage_damaged_ = true;
        fail_storage(installed.error());
        return;
    }
    consensus_options options{.self = settings_.id,
                              .incarnation = incarnation_,
                              .election_timeout = settings_.election_timeout,
                              .heartbeat = settings_.heartbeat,
                              .seed = random_number(),
                              .max_voters = settings_.voter_count};
    for (const auto& [id, endpoint] : network_.endpoints()) {
        options.group.push_back(id);
    }
    for (const auto& [id, incarnation] : initial_voters_) {
        options.group.push_back(id);
    }
    consensus_.emplace(std::move(options), std::move(recovered), steady_clock::now());
    net::co_spawn(control_, run_clock(), net::detached);
    net::co_spawn(control_, run_output_loop(), net::detached);
    if (uses_discovery()) {
        net::co_spawn(control_, keep_registered(), net::detached);
    }
}

net::awaitable<void> replicator::sleep_for(std::chrono::milliseconds time)
{
    net::steady_timer timer(control_);
    timer.expires_after(time);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

net::awaitable<void> replicator::run_clock()
{
    while (!storage_damaged_) {
        // Without durable writes there is no vote and no term to stand with.
        if (!storage_failure_) {
            consensus_->tick(steady_clock::now());
        }
        update_role();
        record_commit_notice();
        update_currency();
        if (!storage_failure_) {
            propose_due_commands();
        }
        wake_output_loop();
        co_await sleep_for(tick_interval);
    }
}

void replicator::wake_output_loop()
{
    output_pending_ = true;
    output_timer_.cancel();
}

net::awaitable<void> replicator::run_output_loop()
{
    while (!storage_damaged_) {
        if (!output_pending_) {
            output_timer_.expires_at(time_point::max());
            co_await output_timer_.async_wait(net::as_tuple(net::use_awaitable));
        }
        output_pending_ = false;
        auto output = consensus_->take_output();
        send(output.messages);
        co_await write_output(output);
        send(output.messages_after_sync);
        if (output.install) {
            auto installed = install(*output.install);
            if (!installed) {
                storage_damaged_ = true;
                fail_storage(installed.error());
                co_return;
            }
        }
        for (const auto& entry : output.committed) {
            apply(entry);
        }
        freshness_.record_applied(applied_.applied());
        send_snapshots(output.snapshot_receivers);
        co_await save_snapshot();
    }
}

net::awaitable<void> replicator::write_output(const consensus_output& output)
{
    if (!output.has_writes()) {
        co_return;
    }
    bool installed = !output.install;
    storage_task task = [this, &output, &installed]() -> result<void> {
        if (!installed) {
            auto saved = log_.save_snapshot(*output.install, {});
            if (!saved) {
                return saved;
            }
            installed = true;
        }
        return log_.append({.hard = output.hard, .entries = output.entries});
    };
    co_await write_until_durable(std::move(task));
    consensus_->mark_synced();
    output_pending_ = true;
}

net::awaitable<void> replicator::save_snapshot()
{
    auto entries_since = applied_.applied().value() - snapshot_index_.value();
    if (entries_since < settings_.snapshot_interval) {
        co_return;
    }
    auto snapshot = consensus_->make_snapshot(to_json(applied_.state().snapshot()));
    auto entries_after =
        consensus_->log().slice(snapshot.index.next(), consensus_->last_index().value());
    storage_task task = [this, &snapshot, &entries_after] {
        return log_.save_snapshot(snapshot, entries_after);
    };
    co_await write_until_durable(std::move(task));
    snapshot_index_ = snapshot.index;
    auto keep = std::min(max_kept_entries, snapshot.index.value());
    consensus_->compact(control_index(snapshot.index.value() - keep));
}

// An output is taken only once, so its write is repeated until it is durable. Meanwhile
// nothing is sent, and the others act without this keeper.
net::awaitable<void> replicator::write_until_durable(storage_task task)
{
    write_started_at_ = steady_clock::now();
    auto written = co_await run_on_storage(storage_, task);
    while (!written) {
        fail_storage(written.error());
        co_await sleep_for(storage_retry_interval);
        written = co_await run_on_storage(storage_, task);
    }
    write_started_at_.reset();
    recover_storage();
}

void replicator::send(const std::vector<consensus_message>& messages)
{
    for (const auto& message : messages) {
        std::vector<entry_run> entries;
        if (std::holds_alternative<append_response>(message.body)) {
            entries = duties_.take_contact_report(steady_clock::now());
        }
        network_.send(message, entries);
    }
}

void replicator::send_snapshots(const std::vector<keeper_id>& receivers)
{
    for (const auto& id : receivers) {
        auto state = to_json(applied_.state().snapshot());
        network_.send(consensus_->make_snapshot_message(id, std::move(state)), {});
    }
}

result<void> replicator::install(const log_snapshot& snapshot)
{
    json_options options;
    options.max_depth = 64;
    auto value = parse_json(snapshot.state, options);
    if (!value) {
        return fail(error_kind::storage_failed, "a snapshot is not readable");
    }
    auto state = control_state::from_snapshot(value.value());
    if (!state) {
        return fail(error_kind::storage_failed, "a snapshot is not readable");
    }
    applied_.install(snapshot.index, std::move(state.value()));
    freshness_.record_applied(snapshot.index);
    set_peer_endpoints(applied_.state().pool());
    snapshot_index_ = snapshot.index;
    return success();
}

void replicator::apply(const log_entry& entry)
{
    command_outcome outcome;
    const auto* text = std::get_if<command_text>(&entry.body);
    if (const auto* admitted = std::get_if<admit_keeper>(&entry.body)) {
        events_.record({.kind = event_kind::keeper_joined,
                        .detail = admitted->id.str() + " is admitted as a voter"});
    }
    if (text == nullptr) {
        applied_.advance(entry.index);
    } else {
        auto value = parse_json(text->json);
        auto change =
            value ? command_from(value.value()) : result<command>(value.error());
        if (change) {
            outcome = applied_.apply(entry.index, change.value());
            if (const auto* registration = std::get_if<register_keeper>(&change.value()))
            {
                apply_registration(registration->keeper);
            }
        } else {
            applied_.advance(entry.index);
            outcome = {.accepted = false, .problem = change.error()};
        }
    }
    proposals_.complete({.index = entry.index, .term = entry.term}, outcome);
}

void replicator::receive(const rpc_message& request)
{
    auto received = network_.receive(request);
    if (!received || !consensus_ || storage_damaged_ ||
        consensus_->pending_output() > max_pending_output)
    {
        return;
    }
    auto now = steady_clock::now();
    for (const auto& entry : received->entries) {
        duties_.record_contact(entry, now);
    }
    consensus_->step(received->message, now);
    record_commit_notice();
    wake_output_loop();
}

void replicator::propose_due_commands()
{
    auto now = steady_clock::now();
    if (stopping_ || consensus_->is_transferring()) {
        return;
    }
    for (const auto& change : duties_.due_commands(applied_.state(), now)) {
        propose_as_leader(change);
    }
    propose_departures(now);
}

void replicator::update_role()
{
    auto role = consensus_->role();
    bool leads = role == keeper_role::leader;
    bool was_leader = last_role_ == keeper_role::leader;
    last_role_ = role;
    if (leads == was_leader) {
        return;
    }
    auto term_text = "term " + std::to_string(consensus_->term().value());
    if (leads) {
        leading_since_ = steady_clock::now();
        duties_.start_leading(leading_since_);
        events_.record({.kind = event_kind::leader_elected, .detail = term_text});
        log_line(log_event::leader_elected, {{"term", term_text}});
    } else {
        duties_.stop_leading();
        events_.record({.kind = event_kind::leader_stepped_down, .detail = term_text});
        log_line(log_event::leader_stepped_down, {{"term", term_text}});
    }
}

void replicator::fail_storage(const error& failure)
{
    bool is_news = !storage_failure_;
    storage_failure_ = failure;
    if (!is_news) {
        return;
    }
    storage_failed_at_ = steady_clock::now();
    events_.record({.kind = event_kind::storage_failed, .detail = failure.detail});
    log_line(log_event::storage_failed, {{"detail", failure.detail}});
    if (consensus_) {
        consensus_->resign();
        update_role();
    }
    proposals_.wake_all();
    applied_.wake_watchers();
}

void replicator::recover_storage()
{
    if (!storage_failure_) {
        return;
    }
    storage_failure_.reset();
    log_line(log_event::storage_recovered,
             {{"after_us", log_us(steady_clock::now() - storage_failed_at_)}});
}

bool replicator::leader_known() const
{
    return consensus_ && !storage_failure_ && !stopping_ &&
           !consensus_->leader(steady_clock::now()).empty();
}

std::optional<std::chrono::milliseconds> replicator::state_age() const
{
    auto complete = freshness_.complete_as_of();
    if (!complete) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() -
                                                                 *complete);
}

bool replicator::is_current() const
{
    auto age = state_age();
    return leader_known() && age &&
           *age < max_state_age_timeouts * settings_.election_timeout;
}

void replicator::record_commit_notice()
{
    if (const auto& notice = consensus_->last_commit_notice()) {
        freshness_.record_commit(notice->commit, notice->at);
    }
}

void replicator::update_currency()
{
    bool current = is_current();
    if (current == was_current_) {
        return;
    }
    was_current_ = current;
    auto now = steady_clock::now();
    auto applied = log_number(applied_.applied().value());
    if (current) {
        log_line(
            log_event::keeper_current,
            {{"applied", applied}, {"after_us", log_us(now - currency_changed_at_)}});
    } else {
        const auto& notice = consensus_->last_commit_notice();
        auto commit = notice ? log_number(notice->commit.value()) : -1;
        log_line(log_event::keeper_behind, {{"applied", applied}, {"commit", commit}});
        applied_.wake_watchers();
    }
    currency_changed_at_ = now;
}

net::awaitable<void> replicator::shut_down()
{
    stopping_ = true;
    auto deadline = steady_clock::now() + handover_timeout;
    if (consensus_ && !storage_failure_) {
        consensus_->transfer_leadership(steady_clock::now());
        wake_output_loop();
    }
    auto has_pending_work = [this] {
        bool leads = consensus_ && consensus_->role() == keeper_role::leader;
        return (leads && !network_.peer_ids().empty()) || !proposals_.empty();
    };
    while (!storage_failure_ && has_pending_work() && steady_clock::now() < deadline) {
        co_await sleep_for(tick_interval);
    }
    applied_.wake_watchers();
    // Time for the last answers to be sent.
    co_await sleep_for(tick_interval);
}

} // namespace papayabridge

#include "consensus_simulation_test.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds step{10};
constexpr unsigned max_delay_ms = 60;
constexpr unsigned duplicate_percent = 5;
constexpr unsigned sync_percent = 60;
constexpr int recovery_rounds = 60;
constexpr std::chrono::milliseconds recovery_round{200};

} // namespace

consensus_simulation::consensus_simulation(std::size_t keepers, std::uint64_t seed)
    : random_(static_cast<std::minstd_rand::result_type>(seed % 1000003 + 1)),
      now_(std::chrono::hours(1))
{
    for (std::size_t i = 0; i < keepers; ++i) {
        simulated_keeper keeper;
        keeper.id = keeper_id("k" + std::to_string(i));
        keeper.disk.incarnation = keeper_incarnation(next_incarnation_++);
        first_voters_[keeper.id] = keeper.disk.incarnation;
        keepers_.push_back(std::move(keeper));
    }
    for (auto& keeper : keepers_) {
        keeper.disk.durable.snapshot.voters = first_voters_;
        start(keeper);
    }
}

unsigned consensus_simulation::random_below(unsigned below)
{
    return std::uniform_int_distribution<unsigned>(0, below - 1)(random_);
}

void consensus_simulation::record_violation(std::string description)
{
    if (violation_.empty()) {
        violation_ = std::move(description);
    }
}

steady_time consensus_simulation::clock_of(const simulated_keeper& keeper) const
{
    return now_ + keeper.clock_offset;
}

void consensus_simulation::start(simulated_keeper& keeper)
{
    consensus_options options{.self = keeper.id,
                              .incarnation = keeper.disk.incarnation,
                              .seed = random_below(1000000) + 1};
    for (const auto& other : keepers_) {
        options.group.push_back(other.id);
    }
    keeper.writing.reset();
    keeper.applied.clear();
    for (const auto& [index, entry] : committed_) {
        if (index <= keeper.disk.durable.snapshot.index) {
            keeper.applied.push_back(entry);
        }
    }
    keeper.machine =
        std::make_unique<consensus>(options, keeper.disk.durable, clock_of(keeper));
}

void consensus_simulation::run(std::chrono::milliseconds time, unsigned loss_percent)
{
    loss_percent_ = loss_percent;
    for (auto end = now_ + time; now_ < end;) {
        now_ += step;
        std::vector<message_in_flight> due;
        auto later = std::partition(
            in_flight_.begin(), in_flight_.end(),
            [this](const message_in_flight& message) { return message.due > now_; });
        std::move(later, in_flight_.end(), std::back_inserter(due));
        in_flight_.erase(later, in_flight_.end());
        for (const auto& delivery : due) {
            for (auto& keeper : keepers_) {
                if (keeper.id == delivery.message.to && keeper.machine &&
                    !keeper.isolated) {
                    keeper.machine->step(delivery.message, clock_of(keeper));
                }
            }
        }
        for (auto& keeper : keepers_) {
            if (keeper.machine) {
                if (!keeper.disk_failing) {
                    keeper.machine->tick(clock_of(keeper));
                }
                process_output(keeper);
                check_single_leader(keeper);
            }
        }
    }
    check_all_log_pairs();
}

void consensus_simulation::process_output(simulated_keeper& keeper)
{
    if (!keeper.writing) {
        keeper.writing = keeper.machine->take_output();
        send(std::exchange(keeper.writing->messages, {}));
    }
    bool synced = !keeper.disk_failing && random_below(100) < sync_percent;
    if (!keeper.writing->has_writes() || synced) {
        finish_writing(keeper);
    }
}

void consensus_simulation::write(simulated_keeper& keeper, const consensus_output& output)
{
    auto& durable = keeper.disk.durable;
    if (output.install) {
        durable.snapshot = *output.install;
        durable.entries.clear();
    }
    for (const auto& entry : output.entries) {
        while (!durable.entries.empty() && durable.entries.back().index >= entry.index) {
            durable.entries.pop_back();
        }
        durable.entries.push_back(entry);
    }
    durable.hard = output.hard.value_or(durable.hard);
}

void consensus_simulation::finish_writing(simulated_keeper& keeper)
{
    auto output = std::move(*keeper.writing);
    keeper.writing.reset();
    write(keeper, output);
    if (output.has_writes()) {
        keeper.machine->mark_synced();
    }
    send(std::move(output.messages_after_sync));
    if (output.install) {
        install(keeper, *output.install);
    }
    for (const auto& entry : output.committed) {
        apply(keeper, entry);
    }
    std::vector<consensus_message> snapshots;
    for (const auto& to : output.snapshot_receivers) {
        snapshots.push_back(keeper.machine->make_snapshot_message(to, {}));
    }
    send(std::move(snapshots));
}

void consensus_simulation::send(std::vector<consensus_message> messages)
{
    for (auto& message : messages) {
        auto from = std::find_if(
            keepers_.begin(), keepers_.end(),
            [&](const simulated_keeper& keeper) { return keeper.id == message.from; });
        if (from->isolated || random_below(100) < loss_percent_) {
            continue;
        }
        unsigned copies = random_below(100) < duplicate_percent ? 2 : 1;
        for (unsigned i = 0; i < copies; ++i) {
            auto delay = std::chrono::milliseconds(1 + random_below(max_delay_ms));
            in_flight_.push_back({.message = message, .due = now_ + delay});
        }
    }
}

void consensus_simulation::apply(simulated_keeper& keeper, const log_entry& entry)
{
    auto expected = keeper.applied.size() + 1;
    if (entry.index.value() != expected) {
        record_violation(keeper.id.str() + " applied out of order at " +
                         std::to_string(entry.index.value()));
    }
    auto [known, is_new] = committed_.emplace(entry.index, entry);
    if (!is_new && known->second != entry) {
        record_violation("two different entries were committed at " +
                         std::to_string(entry.index.value()));
    }
    keeper.applied.push_back(entry);
}

void consensus_simulation::install(simulated_keeper& keeper, const log_snapshot& snapshot)
{
    keeper.applied.clear();
    for (const auto& [index, entry] : committed_) {
        if (index <= snapshot.index) {
            keeper.applied.push_back(entry);
        }
    }
}

void consensus_simulation::check_single_leader(const simulated_keeper& keeper)
{
    if (keeper.machine->role() != keeper_role::leader) {
        return;
    }
    auto name = keeper.id.str() + "/" + std::to_string(keeper.disk.incarnation.value());
    auto [known, is_new] = leaders_.emplace(keeper.machine->term(), name);
    if (!is_new && known->second != name) {
        record_violation("two leaders in term " +
                         std::to_string(keeper.machine->term().value()));
    }
}

void consensus_simulation::check_log_matching(const consensus_log& left,
                                              const consensus_log& right)
{
    auto index = std::min(left.last_index(), right.last_index());
    auto first = std::max(left.first_index(), right.first_index());
    bool must_match = false;
    for (; index >= first; index = control_index(index.value() - 1)) {
        const auto& entry = left.at(index);
        const auto& other = right.at(index);
        must_match = must_match || entry.term == other.term;
        if (must_match && entry != other) {
            record_violation("logs differ below an equal entry, at " +
                             std::to_string(index.value()));
            return;
        }
    }
}

void consensus_simulation::check_all_log_pairs()
{
    for (const auto& left : keepers_) {
        for (const auto& right : keepers_) {
            if (left.id < right.id && left.machine && right.machine) {
                check_log_matching(left.machine->log(), right.machine->log());
            }
        }
    }
}

void consensus_simulation::propose(std::size_t index)
{
    auto& keeper = keepers_[index];
    if (keeper.machine) {
        keeper.machine->propose(command_text{std::to_string(next_command_++)});
    }
}

// Any prefix of the unsynced writes may have reached the disk.
void consensus_simulation::crash(std::size_t index)
{
    auto& keeper = keepers_[index];
    if (keeper.writing && keeper.machine && !keeper.writing->install &&
        random_below(2) == 0) {
        auto& entries = keeper.writing->entries;
        entries.resize(random_below(static_cast<unsigned>(entries.size()) + 1));
        write(keeper, *keeper.writing);
    }
    keeper.writing.reset();
    keeper.machine.reset();
}

void consensus_simulation::restart(std::size_t index)
{
    if (!keepers_[index].machine) {
        start(keepers_[index]);
    }
}

void consensus_simulation::set_disk_failing(std::size_t index, bool failing)
{
    auto& keeper = keepers_[index];
    keeper.disk_failing = failing;
    if (failing && keeper.machine) {
        keeper.machine->resign();
    }
}

void consensus_simulation::lose_disk(std::size_t index)
{
    auto& keeper = keepers_[index];
    keeper.disk = {};
    keeper.disk.incarnation = keeper_incarnation(next_incarnation_++);
    keeper.disk.durable.snapshot.voters = first_voters_;
    start(keeper);
}

void consensus_simulation::set_isolated(std::size_t index, bool isolated)
{
    keepers_[index].isolated = isolated;
}

void consensus_simulation::step_clock(std::size_t index, std::chrono::milliseconds by)
{
    keepers_[index].clock_offset += by;
}

void consensus_simulation::compact(std::size_t index)
{
    auto& keeper = keepers_[index];
    if (!keeper.machine || keeper.writing) {
        return;
    }
    auto& durable = keeper.disk.durable;
    durable.snapshot = keeper.machine->make_snapshot({});
    keeper.machine->compact(durable.snapshot.index);
    std::erase_if(durable.entries, [&durable](const log_entry& entry) {
        return entry.index <= durable.snapshot.index;
    });
}

void consensus_simulation::transfer(std::size_t index)
{
    if (keepers_[index].machine) {
        keepers_[index].machine->transfer_leadership(clock_of(keepers_[index]));
    }
}

std::optional<std::size_t> consensus_simulation::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < keepers_.size(); ++i) {
        const auto& machine = keepers_[i].machine;
        if (machine && machine->role() == keeper_role::leader &&
            (!found || machine->term() > keepers_[*found].machine->term()))
        {
            found = i;
        }
    }
    return found;
}

bool consensus_simulation::all_disks_admitted() const
{
    auto leader_index = leader();
    if (!leader_index) {
        return false;
    }
    auto voters = keepers_[*leader_index].machine->settled_voters();
    return std::all_of(keepers_.begin(), keepers_.end(), [&](const auto& keeper) {
        auto found = voters.find(keeper.id);
        return found != voters.end() && found->second == keeper.disk.incarnation;
    });
}

bool consensus_simulation::recover_all()
{
    for (std::size_t i = 0; i < keepers_.size(); ++i) {
        restart(i);
        set_isolated(i, false);
        set_disk_failing(i, false);
    }
    bool proposed = false;
    for (int round = 0; round < recovery_rounds; ++round) {
        run(recovery_round, 0);
        auto leader_index = leader();
        if (!leader_index) {
            continue;
        }
        if (!proposed && all_disks_admitted()) {
            propose(*leader_index);
            proposed = true;
            continue;
        }
        bool all =
            std::all_of(keepers_.begin(), keepers_.end(), [this](const auto& keeper) {
                return keeper.applied.size() == committed_.size();
            });
        if (proposed && all) {
            return true;
        }
    }
    return false;
}

} // namespace papayabridge

/// \file consensus_simulation_test.hpp
/// An in-memory group of keepers for tests: a network that loses, delays, duplicates and
/// reorders messages, disks that lose unsynced writes, and checks of Raft's invariants.

#pragma once

#include "consensus.hpp"

#include <memory>

namespace papayabridge {

/// The durable data of one simulated keeper.
struct simulated_disk
{
    recovered_state durable;
    keeper_incarnation incarnation;
};

/// One simulated keeper.
struct simulated_keeper
{
    keeper_id id;
    simulated_disk disk;
    std::unique_ptr<consensus> machine;
    std::vector<log_entry> applied;
    /// Output whose writes are not synced yet.
    std::optional<consensus_output> writing;
    /// Offset of this keeper's clock from the simulation's.
    std::chrono::milliseconds clock_offset{0};
    bool isolated = false;
    /// Writes fail and are repeated.
    bool disk_failing = false;
};

/// The group. violation() has the first violated invariant.
class consensus_simulation
{
public:
    consensus_simulation(std::size_t keepers, std::uint64_t seed);

    /// Advances time by \p time. Messages are lost with a chance of \p loss_percent and
    /// sometimes duplicated.
    void run(std::chrono::milliseconds time, unsigned loss_percent);
    /// Proposes a new command at keeper \p index. No effect if it does not lead.
    void propose(std::size_t index);
    void crash(std::size_t index);
    void restart(std::size_t index);
    /// Restarts the keeper on an empty disk.
    void lose_disk(std::size_t index);
    void set_isolated(std::size_t index, bool isolated);
    /// While its disk fails, a keeper resigns, stands for no election and finishes no
    /// write.
    void set_disk_failing(std::size_t index, bool failing);
    void step_clock(std::size_t index, std::chrono::milliseconds by);
    void compact(std::size_t index);
    void transfer(std::size_t index);
    /// Restarts and reconnects every keeper, and runs until all keepers have applied a
    /// new command. False if they do not in time.
    bool recover_all();

    std::optional<std::size_t> leader() const;
    /// Whether the leader knows that the current disk of every keeper is admitted as a
    /// voter.
    bool all_disks_admitted() const;
    std::size_t size() const noexcept { return keepers_.size(); }
    const simulated_keeper& keeper(std::size_t index) const { return keepers_[index]; }
    /// Committed entries by index.
    const std::map<control_index, log_entry>& committed() const noexcept
    {
        return committed_;
    }
    const std::string& violation() const noexcept { return violation_; }

private:
    struct message_in_flight
    {
        consensus_message message;
        steady_time due;
    };

    steady_time clock_of(const simulated_keeper& keeper) const;
    void start(simulated_keeper& keeper);
    void process_output(simulated_keeper& keeper);
    void finish_writing(simulated_keeper& keeper);
    void send(std::vector<consensus_message> messages);
    void apply(simulated_keeper& keeper, const log_entry& entry);
    void install(simulated_keeper& keeper, const log_snapshot& snapshot);
    void write(simulated_keeper& keeper, const consensus_output& output);
    void check_single_leader(const simulated_keeper& keeper);
    void check_log_matching(const consensus_log& left, const consensus_log& right);
    void check_all_log_pairs();
    void record_violation(std::string what);
    unsigned random_below(unsigned below);

    std::vector<simulated_keeper> keepers_;
    std::vector<message_in_flight> in_flight_;
    std::map<control_index, log_entry> committed_;
    voter_map first_voters_;
    std::map<keeper_term, std::string> leaders_;
    std::string violation_;
    std::minstd_rand random_;
    steady_time now_;
    unsigned loss_percent_ = 0;
    std::uint64_t next_command_ = 1;
    std::uint64_t next_incarnation_ = 1;
};

} // namespace papayabridge

/// \file leader_duties.hpp
/// What the leading keeper monitors: entries that no longer respond, and transitions of
/// databases that their driver does not complete.

#pragma once

#include <chrono>
#include <map>
#include <papayabridge/control_state.hpp>
#include <vector>

namespace papayabridge {

/// One run of an entry's process.
struct entry_run
{
    entry_id id;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const entry_run&, const entry_run&) = default;
};

/// Timeouts of the monitoring.
struct duty_options
{
    /// An entry without contact for longer is down.
    std::chrono::milliseconds entry_timeout{900};
    /// A transition that is pending for longer gets another driver.
    std::chrono::milliseconds transition_timeout{4000};
};

/// Records contacts with entries and decides which commands the leader proposes.
class leader_duties
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit leader_duties(duty_options options) : options_(options) {}

    /// Records that this keeper or another one had contact with \p entry at \p now.
    void record_contact(const entry_run& entry, time_point now);
    /// Takes the report of a follower to the leader: the entries with contact since they
    /// were last reported, each a few times per entry timeout.
    std::vector<entry_run> take_contact_report(time_point now);

    /// This keeper leads from \p now on. It proposes nothing until a whole entry timeout
    /// has passed.
    void start_leading(time_point now);
    void stop_leading() { leading_since_.reset(); }
    bool is_leading() const noexcept { return leading_since_.has_value(); }
    /// The commands to propose now. Each is repeated after a pause, in case it was not
    /// committed.
    std::vector<command> due_commands(const control_state& state, time_point now);

private:
    struct contact
    {
        time_point last_contact;
        time_point last_reported;
    };
    struct pending_transition
    {
        term transition_term;
        time_point first_seen;
    };

    bool has_timed_out(const entry_record& entry, time_point now) const;
    void check_entries(const control_state& state, time_point now,
                       std::vector<command>& commands);
    void check_transitions(const control_state& state, time_point now,
                           std::vector<command>& commands);
    bool may_propose(const std::string& subject, time_point now);

    duty_options options_;
    std::map<entry_run, contact> contacts_;
    std::map<database_key, pending_transition> pending_;
    std::map<std::string, time_point> proposed_;
    std::optional<time_point> leading_since_;
};

/// An entry that can drive the pending transition in place of its driver, preferably a
/// gate of one of its members. Empty if there is none; the state then chooses the driver.
entry_id choose_other_driver(const control_state& state, const database_record& database);

} // namespace papayabridge

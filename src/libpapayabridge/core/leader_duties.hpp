/// \file leader_duties.hpp
/// What a leading keeper watches over: entries that fall silent, and moves of databases
/// whose driver does not complete them.

#pragma once

#include <chrono>
#include <map>
#include <papayabridge/control_state.hpp>
#include <vector>

namespace papayabridge {

/// One run of an entry that was heard.
struct entry_run
{
    entry_id id;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const entry_run&, const entry_run&) = default;
};

struct duty_options
{
    /// An entry that is silent for longer is down.
    std::chrono::milliseconds entry_timeout{900};
    /// A transition that is open for longer gets another driver.
    std::chrono::milliseconds transition_timeout{4000};
};

/// Collects who was heard, and decides what a leader proposes.
class leader_duties
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit leader_duties(duty_options options) : options_(options) {}

    /// \p entry was heard here or by another keeper.
    void record_contact(const entry_run& entry, time_point now);
    /// What a follower reports to the leader: who was heard since its last reports,
    /// each of them a few times in an entry timeout.
    std::vector<entry_run> take_contact_report(time_point now);

    /// This keeper leads from \p now on; it judges once a whole timeout has passed.
    void start_leading(time_point now);
    void stop_leading() { leading_since_.reset(); }
    bool is_leading() const noexcept { return leading_since_.has_value(); }
    /// The commands to propose now. Each is given again only after a while, in case it
    /// was not accepted.
    std::vector<command> due_commands(const control_state& state, time_point now);

private:
    struct hearing
    {
        time_point heard;
        time_point reported;
    };
    struct open_transition
    {
        term number;
        time_point since;
    };

    bool is_silent(const entry_record& entry, time_point now) const;
    void judge_entries(const control_state& state, time_point now,
                       std::vector<command>& due);
    void judge_transitions(const control_state& state, time_point now,
                           std::vector<command>& due);
    bool may_propose(const std::string& about, time_point now);

    duty_options options_;
    std::map<entry_run, hearing> heard_;
    std::map<database_key, open_transition> open_;
    std::map<std::string, time_point> proposed_;
    std::optional<time_point> leading_since_;
};

/// An entry, other than the driver of the transition, that may drive it: the gates of
/// its members first. Empty if there is none.
entry_id choose_other_driver(const control_state& state, const database_record& database);

} // namespace papayabridge

/// \file log.hpp
/// The structured log: one JSON object a line on standard output.
///
/// Every line has "stamp" (hybrid clock, see events.hpp), "process", "event" (a name of
/// the closed list below) and the fields of that event, as docs/LOGS.md lists them.
/// Writing a line never waits: a thread of its own takes the lines to standard output. A
/// full queue or a used-up budget holds lines back, and a later line says how many.

#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <papayabridge/ids.hpp>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace papayabridge {

class settings_section;

/// Which lines go first where not all can go.
enum class log_class
{
    change,   ///< What the process believes or is connected to changed.
    failure,  ///< A request was answered with an error.
    trouble,  ///< A request goes on, or was served, but not the ordinary way.
    ordinary, ///< A request was served; a sample of them is kept.
};

/// What a line is about. Closed list: log_events() has one row for each, in this order.
enum class log_event
{
    process_started,
    process_stopping,
    process_stopped,
    settings_reloaded,
    settings_refused,
    hangup,
    lines_held_back,
    configuration_in_force,
    configuration_unreadable,
    configuration_sent,
    configuration_refused,
    primary_known,
    member_known,
    member_gone,
    member_avoided,
    member_usable,
    member_silent,
    member_full,
    member_reported,
    member_withdrawn,
    member_not_reached,
    member_not_answering,
    member_status_unreadable,
    member_refused_question,
    announcement_refused,
    keepers_reached,
    keepers_lost,
    registration_failed,
    entry_changed,
    accept_failed,
    answer_not_taken,
    leader_elected,
    leader_stepped_down,
    group_joined,
    log_tail_cut,
    storage_failed,
    primary_probed,
    promotion_begun,
    promotion_compared,
    promotion_not_safe,
    promotion_step_not_accepted,
    promotion_answered,
    primary_changed,
    session_refused,
    session_closed,
    transaction_ended,
    statement_retried,
    statement_refused,
    statement_in_doubt,
    statement_failed,
    statement_late,
    statement_answered,
};

/// What is known of an event.
struct log_event_row
{
    log_event event;
    std::string_view name;
    log_class kind;
    /// Names of its fields, separated by blanks.
    std::string_view fields;
};

/// The list.
std::span<const log_event_row> log_events() noexcept;
const log_event_row& row_of(log_event event) noexcept;

/// The value of a field. Text is copied before log_line() returns.
using log_value = std::variant<std::string_view, std::int64_t>;
using log_fields = std::initializer_list<std::pair<std::string_view, log_value>>;

/// One line as JSON, without a line feed.
std::string format_log_line(log_event event, std::uint64_t stamp,
                            std::string_view process, log_fields fields);

/// How many lines of each event may be written a second, by class; 0 for none.
struct log_rates
{
    /// Changes come in series when a part of the fleet fails or a configuration of many
    /// services arrives.
    unsigned changes = 200;
    /// What the queue holds: 512 KiB of lines of about 350 bytes.
    unsigned failures = 1500;
    /// A busy entry repeats so many statements a second; floods exceed it (LOGS.md).
    unsigned troubles = 200;
    /// A sample.
    unsigned ordinary = 10;
};

/// Reads the optional object "log" of a settings file.
log_rates read_log_rates(settings_section& root);

/// Starts the log of this process. Before it, lines are discarded.
void start_log(const std::string& process, log_rates rates = {});
/// Writes one line, or holds it back. Thread-safe; never waits for the reader.
void log_line(log_event event, log_fields fields = {});
/// Waits until all lines are written, at most for \p patience.
void flush_log(std::chrono::milliseconds patience);

/// A count as a field.
template <class Number>
std::int64_t log_number(Number value)
{
    return static_cast<std::int64_t>(value);
}
/// A duration in whole microseconds as a field.
inline std::int64_t log_us(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace papayabridge

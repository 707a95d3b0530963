/// \file log.hpp
/// The structured log: one JSON object a line on standard output.
///
/// Every line has "stamp" (hybrid clock, see events.hpp), "process", "event" (the name of
/// a `log_event`) and the fields of that event, as listed in docs/LOGS.md. log_line()
/// never blocks: a dedicated thread writes to standard output. Lines over the rate limit
/// of their event, or over the size of the queue, are suppressed and counted in a later
/// line.

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

/// Priority of log lines when not all can be written.
enum class log_class
{
    change,   ///< The process's state or connections changed.
    failure,  ///< A request was answered with an error.
    trouble,  ///< A request goes on or was served, but not in the usual way.
    ordinary, ///< A request was served; only a sample is written.
};

/// The event that a line reports. The list is closed: log_events() has one row for each,
/// in this order.
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
    keeper_followed,
    connection_silent,
    registration_failed,
    gate_avoided,
    gate_message_refused,
    entry_changed,
    accept_failed,
    account_refused,
    answer_not_taken,
    leader_elected,
    leader_stepped_down,
    group_joined,
    log_tail_cut,
    log_text_repaired,
    command_refused,
    storage_failed,
    storage_recovered,
    event_file_failed,
    event_file_recovered,
    view_not_stored,
    view_stored_again,
    keeper_behind,
    keeper_current,
    keeper_address_removed,
    primary_probed,
    primary_suspected,
    promotion_begun,
    promotion_compared,
    promotion_not_safe,
    primary_stepped_down,
    orders_outstanding,
    replicas_resumed,
    primary_kept,
    promotion_step_not_accepted,
    promotion_answered,
    primary_changed,
    session_refused,
    caller_refused,
    session_closed,
    gate_refused,
    transaction_ended,
    statement_retried,
    statement_refused,
    commit_not_proven,
    statement_in_doubt,
    statement_failed,
    statement_late,
    statement_answered,
};

/// Name, class and fields of an event.
struct log_event_row
{
    log_event event;
    std::string_view name;
    log_class kind;
    /// Field names, separated by spaces.
    std::string_view fields;
};

/// All events, in the order of log_event.
std::span<const log_event_row> log_events() noexcept;
const log_event_row& row_of(log_event event) noexcept;

/// The value of a field. log_line() copies strings before it returns.
using log_value = std::variant<std::string_view, std::int64_t>;
using log_fields = std::initializer_list<std::pair<std::string_view, log_value>>;

/// Formats one line as JSON, without a line feed.
std::string format_log_line(log_event event, std::uint64_t stamp,
                            std::string_view process, log_fields fields);

/// Maximum lines a second for each event, by the class of the event; 0 for none.
struct log_rates
{
    /// Covers the bursts that follow the failure of a part of the fleet or a
    /// configuration change of many services.
    unsigned changes = 200;
    /// The capacity of the queue: 512 KiB of lines of about 350 bytes.
    unsigned failures = 1500;
    /// As many statements as a busy entry retries a second; overload exceeds it (see
    /// docs/LOGS.md).
    unsigned troubles = 200;
    /// Only a sample is wanted.
    unsigned ordinary = 10;
};

/// Reads the optional section "log" of a settings file.
log_rates read_log_rates(settings_section& root);

/// Starts the log of this process. Lines logged before are discarded.
void start_log(const std::string& process, log_rates rates = {});
/// Queues one line, or suppresses and counts it. Thread-safe; never blocks on output.
void log_line(log_event event, log_fields fields = {});
/// Waits until all queued lines are written, but at most for \p timeout.
void flush_log(std::chrono::milliseconds timeout);

/// Converts a number to a field value.
template <class Number>
std::int64_t log_number(Number value)
{
    return static_cast<std::int64_t>(value);
}
/// Converts a duration to a field value in whole microseconds.
inline std::int64_t log_us(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace papayabridge

// The closed list of log events, and how a line is written as JSON.

#include <papayabridge/log.hpp>

#include <array>
#include <charconv>

namespace papayabridge {

namespace {

using enum log_class;

// Of a statement that got an error, and of one that succeeded.
constexpr std::string_view failed_fields =
    "request database rank version member attempts waited_us took_us kind detail needed";
constexpr std::string_view served_fields =
    "request database rank version member attempts waited_us took_us target_us needed";

constexpr std::array rows{
    log_event_row{log_event::process_started, "process_started", change,
                  "at term position"},
    log_event_row{log_event::process_stopping, "process_stopping", change, "sessions"},
    log_event_row{log_event::process_stopped, "process_stopped", change, "sessions"},
    log_event_row{log_event::settings_reloaded, "settings_reloaded", change, "seeds"},
    log_event_row{log_event::settings_refused, "settings_refused", change, "detail"},
    log_event_row{log_event::hangup, "hangup", change, "reloads"},
    log_event_row{log_event::lines_held_back, "lines_held_back", change, "of lines"},
    log_event_row{log_event::configuration_in_force, "configuration_in_force", change,
                  "version before routes"},
    log_event_row{log_event::configuration_unreadable, "configuration_unreadable", change,
                  "version detail"},
    log_event_row{log_event::configuration_sent, "configuration_sent", change,
                  "version before outcome detail"},
    log_event_row{log_event::configuration_refused, "configuration_refused", change,
                  "detail"},
    log_event_row{log_event::primary_known, "primary_known", change,
                  "service member change"},
    log_event_row{log_event::member_known, "member_known", change,
                  "service member at distance leaving"},
    log_event_row{log_event::member_gone, "member_gone", change, "member"},
    log_event_row{log_event::member_avoided, "member_avoided", change, "member wrote"},
    log_event_row{log_event::member_usable, "member_usable", change, "member after_us"},
    log_event_row{log_event::member_silent, "member_silent", change,
                  "service member since_us outstanding"},
    log_event_row{log_event::member_full, "member_full", change, "member open share"},
    log_event_row{log_event::member_reported, "member_reported", change,
                  "member service at leaving claims_primary sequence"},
    log_event_row{log_event::member_withdrawn, "member_withdrawn", change, "member"},
    log_event_row{log_event::member_not_reached, "member_not_reached", change,
                  "member detail"},
    log_event_row{log_event::member_not_answering, "member_not_answering", change,
                  "member detail"},
    log_event_row{log_event::member_status_unreadable, "member_status_unreadable", change,
                  "member detail"},
    log_event_row{log_event::member_refused_question, "member_refused_question", change,
                  "member detail"},
    log_event_row{log_event::announcement_refused, "announcement_refused", change,
                  "detail"},
    log_event_row{log_event::keepers_reached, "keepers_reached", change, "applied"},
    log_event_row{log_event::keepers_lost, "keepers_lost", change, "applied detail"},
    log_event_row{log_event::keeper_followed, "keeper_followed", change,
                  "keeper applied"},
    log_event_row{log_event::connection_silent, "connection_silent", change,
                  "at since_us"},
    log_event_row{log_event::registration_failed, "registration_failed", change,
                  "detail"},
    log_event_row{log_event::gate_avoided, "gate_avoided", change, "gate detail"},
    log_event_row{log_event::gate_message_refused, "gate_message_refused", change,
                  "detail"},
    log_event_row{log_event::entry_changed, "entry_changed", change,
                  "entry condition accepted"},
    log_event_row{log_event::accept_failed, "accept_failed", change, "detail"},
    log_event_row{log_event::account_refused, "account_refused", change,
                  "account version limit home detail"},
    log_event_row{log_event::answer_not_taken, "answer_not_taken", change, "detail"},
    log_event_row{log_event::leader_elected, "leader_elected", change, "term"},
    log_event_row{log_event::leader_stepped_down, "leader_stepped_down", change, "term"},
    log_event_row{log_event::group_joined, "group_joined", change, "as"},
    log_event_row{log_event::log_tail_cut, "log_tail_cut", change, "folder"},
    log_event_row{log_event::log_text_repaired, "log_text_repaired", change,
                  "folder detail"},
    log_event_row{log_event::command_refused, "command_refused", change, "detail"},
    log_event_row{log_event::storage_failed, "storage_failed", change, "detail"},
    log_event_row{log_event::storage_recovered, "storage_recovered", change, "after_us"},
    log_event_row{log_event::event_file_failed, "event_file_failed", change, "detail"},
    log_event_row{log_event::event_file_recovered, "event_file_recovered", change,
                  "lines"},
    log_event_row{log_event::view_not_stored, "view_not_stored", change, "detail"},
    log_event_row{log_event::view_stored_again, "view_stored_again", change, "after_us"},
    log_event_row{log_event::keeper_behind, "keeper_behind", change, "applied commit"},
    log_event_row{log_event::keeper_current, "keeper_current", change,
                  "applied after_us"},
    log_event_row{log_event::keeper_address_removed, "keeper_address_removed", change,
                  "keeper"},
    log_event_row{log_event::primary_probed, "primary_probed", change,
                  "service member probe complaining entries lasting_us lost"},
    log_event_row{log_event::primary_suspected, "primary_suspected", change,
                  "service member suspected"},
    log_event_row{log_event::promotion_begun, "promotion_begun", change,
                  "service reason"},
    log_event_row{log_event::promotion_compared, "promotion_compared", change,
                  "service token member received leads stopped receives_from"},
    log_event_row{log_event::promotion_not_safe, "promotion_not_safe", change,
                  "service token members uncovered"},
    log_event_row{log_event::primary_stepped_down, "primary_stepped_down", change,
                  "service token member received"},
    log_event_row{log_event::orders_outstanding, "orders_outstanding", change,
                  "service token targets"},
    log_event_row{log_event::replicas_resumed, "replicas_resumed", change,
                  "service token replicas"},
    log_event_row{log_event::primary_kept, "primary_kept", change,
                  "service token member"},
    log_event_row{log_event::promotion_step_not_accepted, "promotion_step_not_accepted",
                  change, "detail"},
    log_event_row{log_event::promotion_answered, "promotion_answered", change,
                  "service member token answer"},
    log_event_row{log_event::primary_changed, "primary_changed", change,
                  "service member token took_us"},
    log_event_row{log_event::session_refused, "session_refused", failure,
                  "database version kind detail"},
    log_event_row{log_event::caller_refused, "caller_refused", trouble,
                  "caller database reason held_bytes all_held_bytes"},
    log_event_row{log_event::session_closed, "session_closed", trouble,
                  "database detail"},
    log_event_row{log_event::gate_refused, "gate_refused", trouble,
                  "request member waited_us kind detail"},
    log_event_row{log_event::transaction_ended, "transaction_ended", failure,
                  "database service member detail"},
    log_event_row{log_event::statement_retried, "statement_retried", trouble,
                  "request database member attempt kind detail needed reached"},
    log_event_row{log_event::statement_refused, "statement_refused", failure,
                  failed_fields},
    log_event_row{log_event::commit_not_proven, "commit_not_proven", failure,
                  "service member received targets replicas age_us"},
    log_event_row{log_event::statement_in_doubt, "statement_in_doubt", failure,
                  failed_fields},
    log_event_row{log_event::statement_failed, "statement_failed", failure,
                  failed_fields},
    log_event_row{log_event::statement_late, "statement_late", trouble, served_fields},
    log_event_row{log_event::statement_answered, "statement_answered", ordinary,
                  served_fields},
};

constexpr bool in_order()
{
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (static_cast<std::size_t>(rows[i].event) != i) {
            return false;
        }
    }
    return true;
}
static_assert(in_order() &&
                  rows.size() ==
                      static_cast<std::size_t>(log_event::statement_answered) + 1,
              "one row for each event, in the order of the list");

void append_text(std::string& out, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    out += '"';
    for (char letter : text) {
        auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            out += '\\';
            out += letter;
        } else if (code < 0x20 || code >= 0x7f) {
            // Also bytes over ASCII, as callers' text need not be UTF-8.
            out += "\\u00";
            out += digits[code >> 4];
            out += digits[code & 15];
        } else {
            out += letter;
        }
    }
    out += '"';
}

template <class Number>
void append_number(std::string& out, Number value)
{
    std::array<char, 24> text{};
    auto end = std::to_chars(text.data(), text.data() + text.size(), value);
    out.append(text.data(), end.ptr);
}

} // namespace

std::span<const log_event_row> log_events() noexcept
{
    return rows;
}

const log_event_row& row_of(log_event event) noexcept
{
    return rows[static_cast<std::size_t>(event)];
}

std::string format_log_line(log_event event, std::uint64_t stamp,
                            std::string_view process, log_fields fields)
{
    std::string out = "{\"stamp\":";
    append_number(out, stamp);
    out += ",\"process\":";
    append_text(out, process);
    out += ",\"event\":";
    append_text(out, row_of(event).name);
    for (const auto& [name, value] : fields) {
        out += ',';
        append_text(out, name);
        out += ':';
        if (const auto* text = std::get_if<std::string_view>(&value)) {
            append_text(out, *text);
        } else {
            append_number(out, std::get<std::int64_t>(value));
        }
    }
    out += '}';
    return out;
}

} // namespace papayabridge

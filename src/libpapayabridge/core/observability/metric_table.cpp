#include "metric_table.hpp"

#include <algorithm>
#include <array>

namespace papayabridge {

namespace {

constexpr std::array<metric_row, 30> rows{{
    {"papaya_account_operations_total", "counter", "operations", "account outcome",
     "Operations of accounts with a limit, admitted or refused by it"},
    {"papaya_caller_memory_bytes", "gauge", "bytes", "",
     "Memory held for callers: unread input, unsent answers, session values"},
    {"papaya_callers_refused_total", "counter", "callers", "reason",
     "Callers refused or closed because of the memory or connections that they hold"},
    {"papaya_configuration_version", "gauge", "version", "",
     "Configuration in force at an entry, or held by a keeper"},
    {"papaya_control_index", "gauge", "commands", "",
     "Last replicated command that this process has applied"},
    {"papaya_failed_attempts_total", "counter", "attempts", "member kind",
     "Tries of statements that a member did not run or did not answer, by error kind"},
    {"papaya_gate_databases", "gauge", "databases", "", "Databases with a gate here"},
    {"papaya_gate_leases", "gauge", "leases", "", "Primaries' leases held here"},
    {"papaya_gate_running", "gauge", "statements", "",
     "Statements that members run for gates here"},
    {"papaya_gate_transactions", "gauge", "transactions", "",
     "Transactions that other entries have open at gates here"},
    {"papaya_gate_waiting", "gauge", "statements", "", "Statements queued at gates here"},
    {"papaya_keeper_is_current", "gauge", "0 or 1", "",
     "Whether this keeper has applied all that its leader told"},
    {"papaya_keeper_leads", "gauge", "0 or 1", "", "Whether this keeper leads"},
    {"papaya_link_received_bytes", "gauge", "bytes", "region cause",
     "Bytes received since the start"},
    {"papaya_link_sent_bytes", "gauge", "bytes", "region cause",
     "Bytes sent since the start"},
    {"papaya_log_lines_held_back_total", "counter", "lines", "event",
     "Log lines over their rate or over the queue"},
    {"papaya_member_answer_seconds", "histogram", "seconds", "member",
     "From sending a statement to a member to its whole answer"},
    {"papaya_member_connections", "gauge", "connections", "",
     "Connections to members that are open"},
    {"papaya_operations_without_token_total", "counter", "operations", "",
     "Operations admitted while the home of their account did not answer"},
    {"papaya_promotion_seconds", "histogram", "seconds", "service",
     "From the begin of a change of primary to the new primary"},
    {"papaya_request_seconds", "histogram", "seconds", "rank",
     "Latency of requests over HTTP"},
    {"papaya_requests_total", "counter", "requests", "rank outcome",
     "Requests over HTTP by outcome"},
    {"papaya_sessions", "gauge", "sessions", "", "Sessions that are open"},
    {"papaya_sessions_refused_total", "counter", "sessions", "kind",
     "Sessions not opened, or closed because of what they sent"},
    {"papaya_statement_seconds", "histogram", "seconds", "rank rule outcome",
     "From the arrival of a statement to its answer"},
    {"papaya_statements_total", "counter", "statements", "rank rule outcome",
     "Statements of sessions that members had to run, by outcome"},
    {"papaya_statements_waiting", "gauge", "statements", "",
     "Statements that wait for a connection to a member"},
    {"papaya_token_requests_total", "counter", "messages", "",
     "Messages to the homes of accounts for tokens"},
    {"papaya_token_requests_unanswered_total", "counter", "messages", "",
     "Messages for tokens that were not answered in time"},
    {"papaya_tokens_granted_total", "counter", "operations", "",
     "Tokens granted as the home of accounts"},
}};

} // namespace

std::span<const metric_row> metric_rows() noexcept
{
    return rows;
}

const metric_row* find_metric(std::string_view name) noexcept
{
    const auto* found = std::find_if(
        rows.begin(), rows.end(), [name](const auto& row) { return row.name == name; });
    return found == rows.end() ? nullptr : found;
}

} // namespace papayabridge

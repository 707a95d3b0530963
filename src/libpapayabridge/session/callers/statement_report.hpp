/// \file statement_report.hpp
/// Logs and metrics of statements: one log line and one count at the end of each
/// statement, and one line for each failed attempt.

#pragma once

#include <map>
#include <papayabridge/log.hpp>
#include <papayabridge/metrics.hpp>
#include <papayabridge/pooled_configuration.hpp>
#include <papayabridge/statement.hpp>
#include <set>

namespace papayabridge {

/// A statement's properties at its end or at a failed attempt.
struct statement_summary
{
    const request_id& request;
    const database_name& database;
    const pooled_route& route;
    /// Whether it writes, or commits a transaction.
    bool writes = false;
    config_version version;
    /// The last member tried; empty if none was.
    const member_id& member;
    /// Number of attempts at members.
    unsigned attempts = 0;
    /// Time spent without a member connection.
    std::chrono::nanoseconds waited{0};
    /// Time since the statement's last byte arrived.
    std::chrono::nanoseconds took{0};
    /// The position that the log of a replica had to hold; empty if no position was
    /// required.
    std::optional<position> needed;
};

/// Writes the log lines and caches the metrics. Must be used on one thread.
class statement_report
{
public:
    /// Records a finished statement and its answer.
    void record_finished(const statement_summary& summary,
                         const statement_answer& answer);
    /// Records an attempt that a member did not run or whose answer was lost. The
    /// statement is retried if there is time. \p reached is the position of the member's
    /// log, if known.
    void record_failed_attempt(const statement_summary& summary, const error& problem,
                               std::optional<position> reached);
    /// Records a member's answer time.
    void record_member_answer(const member_id& member, std::chrono::nanoseconds took);
    /// Records a session that was refused or closed because of its input.
    void record_refused_session(error_kind kind);

private:
    struct outcome_key
    {
        unsigned rank = 0;
        read_consistency consistency = read_consistency::at_primary;
        std::string_view outcome;

        friend auto operator<=>(const outcome_key&, const outcome_key&) = default;
    };
    struct outcome_metrics
    {
        counter* count = nullptr;
        latency_histogram* latency = nullptr;
    };

    outcome_metrics& metrics_of(const outcome_key& key);
    const member_id& metric_label(const member_id& member);
    counter& failed_attempts_counter(const member_id& member, std::string_view kind);

    std::map<outcome_key, outcome_metrics> metrics_;
    std::set<member_id> labelled_members_;
    std::map<std::pair<member_id, std::string_view>, counter*> failed_attempts_;
    std::map<member_id, latency_histogram*> answer_latencies_;
};

} // namespace papayabridge

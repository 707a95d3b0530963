/// \file statement_report.hpp
/// What is logged and counted of statements: one line and one count at the end of each,
/// one line for each try that did not end it.

#pragma once

#include <map>
#include <papayabridge/log.hpp>
#include <papayabridge/metrics.hpp>
#include <papayabridge/pooled_configuration.hpp>
#include <papayabridge/statement.hpp>
#include <set>

namespace papayabridge {

/// What is known of a statement when it ends or is tried again.
struct statement_facts
{
    const request_id& request;
    const database_name& database;
    const pooled_route& route;
    /// Whether it writes or commits a write.
    bool writes = false;
    config_version version;
    /// The last member that was tried; empty if none was.
    const member_id& member;
    /// Members tried.
    unsigned attempts = 0;
    /// Spent without a member connection.
    std::chrono::nanoseconds waited{0};
    /// Since its last byte arrived.
    std::chrono::nanoseconds took{0};
    /// Position that a replica's log had to hold.
    std::optional<position> needed;
};

/// Writes the lines, and keeps the metrics at hand. Single thread.
class statement_report
{
public:
    /// The statement's answer is known.
    void ended(const statement_facts& facts, const statement_answer& answer);
    /// A member did not run it, or its answer was lost; it is tried again if there is
    /// time.
    void tried(const statement_facts& facts, const error& problem,
               std::optional<position> reached);
    /// A member answered, after \p took.
    void member_answered(const member_id& member, std::chrono::nanoseconds took);
    /// A session was not opened, or was closed because of what it sent.
    void session_refused(error_kind kind);

private:
    struct outcome_key
    {
        unsigned rank = 0;
        read_consistency rule = read_consistency::at_primary;
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
    counter& tries_at(const member_id& member, std::string_view kind);

    std::map<outcome_key, outcome_metrics> metrics_;
    std::set<member_id> labelled_;
    std::map<std::pair<member_id, std::string_view>, counter*> tries_;
    std::map<member_id, latency_histogram*> answers_;
};

} // namespace papayabridge

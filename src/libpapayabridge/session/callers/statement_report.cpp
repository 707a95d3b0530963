#include "statement_report.hpp"

#include <array>

namespace papayabridge {

namespace {

// Limits the number of metric labels; further members share the label "others".
constexpr std::size_t max_member_labels = 256;

constexpr std::array<std::string_view, 3> consistency_labels{"primary", "bounded_age",
                                                             "own_writes"};

log_event select_event(const statement_summary& summary, const statement_answer& answer)
{
    if (!answer.failure) {
        return summary.took > summary.route.target ? log_event::statement_late
                                                   : log_event::statement_answered;
    }
    if (answer.failure->kind == error_kind::outcome_unknown && summary.writes) {
        return log_event::statement_in_doubt;
    }
    return answer_of(answer.failure->kind).ran == ran_state::no
               ? log_event::statement_refused
               : log_event::statement_failed;
}

std::string required_position_text(const std::optional<position>& needed)
{
    return needed ? needed->str() : "primary";
}

} // namespace

void statement_report::record_finished(const statement_summary& summary,
                                       const statement_answer& answer)
{
    auto event = select_event(summary, answer);
    auto& recorded = metrics_of(
        {.rank = summary.route.rank,
         .consistency = summary.route.consistency,
         .outcome = answer.failure ? answer_of(answer.failure->kind).name : "answered"});
    recorded.count->add();
    recorded.latency->record(summary.took);
    auto needed = required_position_text(summary.needed);
    if (answer.failure) {
        log_line(event, {{"request", summary.request.str()},
                         {"database", summary.database.str()},
                         {"rank", log_number(summary.route.rank)},
                         {"version", log_number(summary.version.value())},
                         {"member", summary.member.str()},
                         {"attempts", log_number(summary.attempts)},
                         {"waited_us", log_us(summary.waited)},
                         {"took_us", log_us(summary.took)},
                         {"kind", answer_of(answer.failure->kind).name},
                         {"detail", answer.failure->detail},
                         {"needed", needed}});
        return;
    }
    log_line(event, {{"request", summary.request.str()},
                     {"database", summary.database.str()},
                     {"rank", log_number(summary.route.rank)},
                     {"version", log_number(summary.version.value())},
                     {"member", summary.member.str()},
                     {"attempts", log_number(summary.attempts)},
                     {"waited_us", log_us(summary.waited)},
                     {"took_us", log_us(summary.took)},
                     {"target_us", log_us(summary.route.target)},
                     {"needed", needed}});
}

void statement_report::record_failed_attempt(const statement_summary& summary,
                                             const error& problem,
                                             std::optional<position> reached)
{
    auto kind = answer_of(problem.kind).name;
    failed_attempts_counter(summary.member, kind).add();
    auto needed = required_position_text(summary.needed);
    auto reached_text = reached ? reached->str() : std::string();
    log_line(log_event::statement_retried, {{"request", summary.request.str()},
                                            {"database", summary.database.str()},
                                            {"member", summary.member.str()},
                                            {"attempt", log_number(summary.attempts)},
                                            {"kind", kind},
                                            {"detail", problem.detail},
                                            {"needed", needed},
                                            {"reached", reached_text}});
}

void statement_report::record_member_answer(const member_id& member,
                                            std::chrono::nanoseconds took)
{
    auto& recorded = answer_latencies_[metric_label(member)];
    if (recorded == nullptr) {
        recorded = &metrics::process().latency_of(
            "papaya_member_answer_seconds", {{"member", metric_label(member).str()}});
    }
    recorded->record(took);
}

void statement_report::record_refused_session(error_kind kind)
{
    metrics::process()
        .counter_of("papaya_sessions_refused_total",
                    {{"kind", std::string(answer_of(kind).name)}})
        .add();
}

statement_report::outcome_metrics& statement_report::metrics_of(const outcome_key& key)
{
    auto& found = metrics_[key];
    if (found.count == nullptr) {
        auto& all = metrics::process();
        std::string consistency(
            consistency_labels[static_cast<std::size_t>(key.consistency)]);
        auto rank = std::to_string(key.rank);
        std::string outcome(key.outcome);
        found.count = &all.counter_of(
            "papaya_statements_total",
            {{"rank", rank}, {"rule", consistency}, {"outcome", outcome}});
        found.latency = &all.latency_of(
            "papaya_statement_seconds",
            {{"rank", rank}, {"rule", consistency}, {"outcome", outcome}});
    }
    return found;
}

// Metrics are never removed, so the number of member labels is bounded.
const member_id& statement_report::metric_label(const member_id& member)
{
    static const member_id other_members("others");
    bool has_label = labelled_members_.count(member) != 0;
    if (!has_label && labelled_members_.size() < max_member_labels) {
        has_label = labelled_members_.insert(member).second;
    }
    return has_label ? member : other_members;
}

counter& statement_report::failed_attempts_counter(const member_id& member,
                                                   std::string_view kind)
{
    auto& attempts = failed_attempts_[{metric_label(member), kind}];
    if (attempts == nullptr) {
        attempts = &metrics::process().counter_of(
            "papaya_failed_attempts_total",
            {{"member", metric_label(member).str()}, {"kind", std::string(kind)}});
    }
    return *attempts;
}

} // namespace papayabridge

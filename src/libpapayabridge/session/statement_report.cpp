#include "statement_report.hpp"

#include <array>

namespace papayabridge {

namespace {

// Members come and go; those beyond so many share one label.
constexpr std::size_t most_member_metrics = 256;

constexpr std::array<std::string_view, 3> rule_names{"primary", "bounded_age",
                                                     "own_writes"};

log_event event_of(const statement_facts& facts, const statement_answer& answer)
{
    if (!answer.failure) {
        return facts.took > facts.route.target ? log_event::statement_late
                                               : log_event::statement_answered;
    }
    if (answer.failure->kind == error_kind::outcome_unknown && facts.writes) {
        return log_event::statement_in_doubt;
    }
    return answer_of(answer.failure->kind).ran == ran_state::no
               ? log_event::statement_refused
               : log_event::statement_failed;
}

std::string text_of_needed(const std::optional<position>& needed)
{
    return needed ? needed->str() : "primary";
}

} // namespace

void statement_report::ended(const statement_facts& facts, const statement_answer& answer)
{
    auto event = event_of(facts, answer);
    auto& seen = metrics_of(
        {.rank = facts.route.rank,
         .rule = facts.route.consistency,
         .outcome = answer.failure ? answer_of(answer.failure->kind).name : "answered"});
    seen.count->add();
    seen.latency->record(facts.took);
    auto needed = text_of_needed(facts.needed);
    if (answer.failure) {
        log_line(event, {{"request", facts.request.str()},
                         {"database", facts.database.str()},
                         {"rank", log_number(facts.route.rank)},
                         {"version", log_number(facts.version.value())},
                         {"member", facts.member.str()},
                         {"attempts", log_number(facts.attempts)},
                         {"waited_us", log_us(facts.waited)},
                         {"took_us", log_us(facts.took)},
                         {"kind", answer_of(answer.failure->kind).name},
                         {"detail", answer.failure->detail},
                         {"needed", needed}});
        return;
    }
    log_line(event, {{"request", facts.request.str()},
                     {"database", facts.database.str()},
                     {"rank", log_number(facts.route.rank)},
                     {"version", log_number(facts.version.value())},
                     {"member", facts.member.str()},
                     {"attempts", log_number(facts.attempts)},
                     {"waited_us", log_us(facts.waited)},
                     {"took_us", log_us(facts.took)},
                     {"target_us", log_us(facts.route.target)},
                     {"needed", needed}});
}

void statement_report::tried(const statement_facts& facts, const error& problem,
                             std::optional<position> reached)
{
    auto kind = answer_of(problem.kind).name;
    tries_at(facts.member, kind).add();
    auto needed = text_of_needed(facts.needed);
    auto reached_text = reached ? reached->str() : std::string();
    log_line(log_event::statement_retried, {{"request", facts.request.str()},
                                            {"database", facts.database.str()},
                                            {"member", facts.member.str()},
                                            {"attempt", log_number(facts.attempts)},
                                            {"kind", kind},
                                            {"detail", problem.detail},
                                            {"needed", needed},
                                            {"reached", reached_text}});
}

void statement_report::member_answered(const member_id& member,
                                       std::chrono::nanoseconds took)
{
    auto& seen = answers_[metric_label(member)];
    if (seen == nullptr) {
        seen = &metrics::process().latency_of("papaya_member_answer_seconds",
                                              {{"member", metric_label(member).str()}});
    }
    seen->record(took);
}

void statement_report::session_refused(error_kind kind)
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
        std::string rule(rule_names[static_cast<std::size_t>(key.rule)]);
        auto rank = std::to_string(key.rank);
        std::string outcome(key.outcome);
        found.count =
            &all.counter_of("papaya_statements_total",
                            {{"rank", rank}, {"rule", rule}, {"outcome", outcome}});
        found.latency =
            &all.latency_of("papaya_statement_seconds",
                            {{"rank", rank}, {"rule", rule}, {"outcome", outcome}});
    }
    return found;
}

// The metrics of a member stay until the process ends, so their number is bounded.
const member_id& statement_report::metric_label(const member_id& member)
{
    static const member_id others("others");
    bool own = labelled_.count(member) != 0;
    if (!own && labelled_.size() < most_member_metrics) {
        own = labelled_.insert(member).second;
    }
    return own ? member : others;
}

counter& statement_report::tries_at(const member_id& member, std::string_view kind)
{
    auto& counted = tries_[{metric_label(member), kind}];
    if (counted == nullptr) {
        counted = &metrics::process().counter_of(
            "papaya_failed_attempts_total",
            {{"member", metric_label(member).str()}, {"kind", std::string(kind)}});
    }
    return *counted;
}

} // namespace papayabridge

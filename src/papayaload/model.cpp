#include "model.hpp"

#include "statistics.hpp"

namespace papayabridge {

namespace {

using std::chrono::milliseconds;

constexpr number_range positive{.min = 1, .max = 1000000};
constexpr number_range whole{.min = 0, .max = 1000000};
constexpr number_range percent{.min = 0, .max = 100};
constexpr double whole_percent = 100.0;

void read_rank(settings_section section, admission_rank_limits& rank,
               model_stream& stream)
{
    rank.share_percent = static_cast<unsigned>(section.number("share_percent", percent));
    rank.queue_limit = section.number("queue_limit", positive, rank.queue_limit);
    stream.target = section.duration("target_ms", positive, stream.target);
    stream.deadline = section.duration("deadline_ms", positive, stream.deadline);
    stream.service = section.duration("service_ms", positive, milliseconds(20));
    section.report_unknown_members();
}

double part(std::chrono::microseconds some, std::chrono::microseconds all)
{
    return static_cast<double>(some.count()) / static_cast<double>(all.count());
}

/// The results of one rank's streams together.
Json::Value row_of(const model_options& options, const model_result& result, rank of)
{
    model_stream_result sum;
    latency_histogram latencies;
    for (std::size_t i = 0; i < result.streams.size(); ++i) {
        if (options.streams[i].rank != of) {
            continue;
        }
        const auto& each = result.streams[i];
        sum.sent += each.sent;
        sum.served += each.served;
        sum.within_target += each.within_target;
        sum.refused_full += each.refused_full;
        sum.refused_deadline += each.refused_deadline;
        sum.expired += each.expired;
        sum.slot_time += each.slot_time;
        for (auto latency : each.latencies) {
            latencies.add(latency);
        }
    }
    Json::Value row(Json::objectValue);
    row["sent"] = Json::UInt64(sum.sent);
    row["served"] = Json::UInt64(sum.served);
    row["within_target"] = Json::UInt64(sum.within_target);
    row["refused_full"] = Json::UInt64(sum.refused_full);
    row["refused_deadline"] = Json::UInt64(sum.refused_deadline);
    row["expired"] = Json::UInt64(sum.expired);
    row["kept_share"] = part(sum.slot_time, result.capacity);
    row["p50_ms"] = latencies.quantile_ms(0.5);
    row["p99_ms"] = latencies.quantile_ms(0.99);
    return row;
}

model_options options_for(const model_settings& settings, const model_phase& phase,
                          unsigned slots)
{
    model_options options;
    options.admission.slots = slots;
    options.admission.ranks = settings.ranks;
    options.warmup = settings.warmup;
    options.duration = settings.length;
    for (auto each : all_ranks) {
        const std::chrono::duration<double> service = settings.streams[each].service;
        const auto rate =
            phase.load_percent[each] / whole_percent * slots / service.count();
        for (unsigned i = 0; i < settings.callers && rate > 0; ++i) {
            auto stream = settings.streams[each];
            stream.rank = each;
            stream.caller = caller_id("caller-" + std::to_string(i));
            stream.per_second = rate / settings.callers;
            options.streams.push_back(std::move(stream));
        }
    }
    return options;
}

Json::Value run_one(const model_options& options)
{
    const auto result = run_admission_model(options);
    Json::Value row(Json::objectValue);
    row["slots"] = options.admission.slots;
    row["strategy"] = options.admission.strategy;
    row["seed"] = Json::UInt64(options.seed);
    row["most_running"] = result.max_running;
    row["wasted_share"] = part(result.wasted_slot_time, result.capacity);
    row["each_ended_once"] = result.each_ended_once;
    for (auto each : all_ranks) {
        row["ranks"][std::string(to_string(each))] = row_of(options, result, each);
    }
    return row;
}

} // namespace

model_settings read_model(settings_section& section)
{
    model_settings settings;
    settings.seeds =
        static_cast<unsigned>(section.number("seeds", positive, settings.seeds));
    settings.callers =
        static_cast<unsigned>(section.number("callers", positive, settings.callers));
    settings.warmup = section.duration("warmup_ms", whole, settings.warmup);
    settings.length = section.duration("length_ms", positive, settings.length);
    for (auto& each : section.list("members")) {
        settings.slots.push_back(static_cast<unsigned>(each.number("slots", positive)));
        each.report_unknown_members();
    }
    auto ranks = section.section("ranks");
    for (auto each : all_ranks) {
        read_rank(ranks.section(to_string(each).data()), settings.ranks[each],
                  settings.streams[each]);
    }
    ranks.report_unknown_members();
    for (auto& each : section.list("phases")) {
        model_phase phase;
        phase.name = each.text("name");
        for (auto of : all_ranks) {
            phase.load_percent[of] =
                static_cast<unsigned>(each.number(to_string(of).data(), whole));
        }
        each.report_unknown_members();
        settings.phases.push_back(std::move(phase));
    }
    section.report_unknown_members();
    return settings;
}

Json::Value run_models(const model_settings& settings)
{
    Json::Value rows(Json::arrayValue);
    for (auto slots : settings.slots) {
        for (const auto& phase : settings.phases) {
            auto options = options_for(settings, phase, slots);
            for (const auto& strategy : settings.strategies) {
                options.admission.strategy = strategy;
                for (unsigned seed = 1; seed <= settings.seeds; ++seed) {
                    options.seed = seed;
                    auto row = run_one(options);
                    row["phase"] = phase.name;
                    rows.append(row);
                }
            }
        }
    }
    return rows;
}

} // namespace papayabridge

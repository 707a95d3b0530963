#include "experiment.hpp"

namespace papayabridge {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr number_range positive{.min = 1, .max = 1000000};
constexpr number_range whole{.min = 0, .max = 1000000};
constexpr number_range percent{.min = 0, .max = 100};
constexpr number_range any_seed{.min = 0, .max = UINT64_MAX};
constexpr std::uint64_t unchanged_percent = 100;

rank read_rank(settings_section& section)
{
    const auto found = parse_rank(section.text("rank"));
    if (!found) {
        section.report_invalid("rank", "urgent, normal or batch");
    }
    return found.value_or(rank::normal);
}

read_mix read_read(settings_section& section)
{
    read_mix mix;
    mix.kind = section.text("kind", "");
    if (section.has("max_age_ms")) {
        mix.max_age = section.duration("max_age_ms", whole, milliseconds(0));
    }
    mix.weight = static_cast<unsigned>(section.number("weight", positive, 1));
    section.report_unknown_members();
    return mix;
}

load_stream read_stream(settings_section& section)
{
    load_stream stream;
    stream.rank = read_rank(section);
    stream.callers = static_cast<unsigned>(section.number("callers", positive, 1));
    stream.per_second = static_cast<unsigned>(section.number("per_second", positive));
    stream.writes_percent =
        static_cast<unsigned>(section.number("writes_percent", percent, 0));
    stream.statement = section.duration("statement_ms", whole, stream.statement);
    stream.target = section.duration("target_ms", positive, stream.target);
    stream.deadline = section.duration("deadline_ms", positive, stream.deadline);
    for (auto& each : section.list("reads")) {
        stream.reads.push_back(read_read(each));
    }
    if (stream.reads.empty()) {
        stream.reads.push_back({.kind = "fresh"});
    }
    section.report_unknown_members();
    return stream;
}

load_phase read_phase(settings_section& section)
{
    load_phase phase;
    phase.name = section.text("name");
    phase.length = section.duration("length_ms", positive, seconds(10));
    auto loads = section.section("load_percent");
    for (auto each : all_ranks) {
        phase.load_percent[each] = static_cast<unsigned>(
            loads.number(to_string(each).data(), whole, unchanged_percent));
    }
    loads.report_unknown_members();
    section.report_unknown_members();
    return phase;
}

std::vector<database_name> split_names(const std::string& text)
{
    std::vector<database_name> names;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        names.emplace_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return names;
}

gap_settings read_gap(settings_section section)
{
    gap_settings gap;
    gap.interval = section.duration("interval_ms", positive, gap.interval);
    gap.length = section.duration("length_ms", positive, gap.length);
    gap.deadline = section.duration("deadline_ms", positive, gap.deadline);
    section.report_unknown_members();
    return gap;
}

} // namespace

experiment read_experiment(settings_section& section)
{
    experiment read;
    read.entries = section.endpoints("entries");
    if (read.entries.empty()) {
        section.report_invalid("entries", "at least one \"ADDRESS:PORT\"");
    }
    read.service = service_name(section.text("service"));
    read.databases = split_names(section.text("databases"));
    read.seed = section.number("seed", any_seed, read.seed);
    read.keys = section.number("keys", positive, read.keys);
    read.most_in_progress =
        section.number("most_in_progress", positive, read.most_in_progress);
    read.verify = section.flag("verify", read.verify);
    for (auto& each : section.list("streams")) {
        read.streams.push_back(read_stream(each));
    }
    for (auto& each : section.list("phases")) {
        read.phases.push_back(read_phase(each));
    }
    read.gap = read_gap(section.section("gap"));
    read.links = link_table::read(section);
    section.report_unknown_members();
    return read;
}

} // namespace papayabridge

#include "statistics.hpp"

#include <algorithm>

namespace papayabridge {

void latency_histogram::add(std::chrono::microseconds latency)
{
    constexpr double us_per_ms = 1000.0;
    histogram_(std::max(static_cast<double>(latency.count()) / us_per_ms, least_ms));
    ++count_;
}

double latency_histogram::quantile_ms(double part) const
{
    const auto wanted = static_cast<double>(count_) * part;
    double seen = 0;
    for (int i = 0; i < static_cast<int>(bins); ++i) {
        seen += histogram_.at(i);
        if (seen >= wanted && seen > 0) {
            return histogram_.axis().bin(i).upper();
        }
    }
    return count_ == 0 ? 0 : most_ms;
}

void rank_counts::ended(const load_stream& stream, const load_answer& answer,
                        std::chrono::microseconds latency)
{
    if (answer.served) {
        ++served;
        within_target += latency <= stream.target ? 1 : 0;
        latencies.add(latency);
    } else if (answer.ran == ran_state::no) {
        ++refused[answer.error];
    } else {
        ++unknown;
    }
}

namespace {

Json::Value to_value(const rank_counts& counts)
{
    Json::Value value(Json::objectValue);
    value["sent"] = Json::UInt64(counts.sent);
    value["not_sent"] = Json::UInt64(counts.not_sent);
    value["served"] = Json::UInt64(counts.served);
    value["within_target"] = Json::UInt64(counts.within_target);
    value["unknown"] = Json::UInt64(counts.unknown);
    value["refused"] = Json::Value(Json::objectValue);
    for (const auto& [kind, count] : counts.refused) {
        value["refused"][kind] = Json::UInt64(count);
    }
    value["reads"] = Json::Value(Json::objectValue);
    for (const auto& [kind, reads] : counts.reads) {
        value["reads"][kind]["served"] = Json::UInt64(reads.served);
        value["reads"][kind]["by_replica"] = Json::UInt64(reads.by_replica);
    }
    value["p50_ms"] = counts.latencies.quantile_ms(0.5);
    value["p90_ms"] = counts.latencies.quantile_ms(0.9);
    value["p99_ms"] = counts.latencies.quantile_ms(0.99);
    value["slot_time_ms"] = Json::Int64(counts.slot_time.count());
    return value;
}

} // namespace

Json::Value to_value(const by_rank<rank_counts>& counts, std::chrono::milliseconds length)
{
    Json::Value value(Json::objectValue);
    std::chrono::milliseconds all_slot_time{0};
    for (const auto& each : counts) {
        all_slot_time += each.slot_time;
    }
    for (auto each : all_ranks) {
        auto row = to_value(counts[each]);
        // The part of all slot time that the rank kept.
        row["kept_share"] = all_slot_time.count() == 0
                                ? 0.0
                                : static_cast<double>(counts[each].slot_time.count()) /
                                      static_cast<double>(all_slot_time.count());
        value["ranks"][std::string(to_string(each))] = row;
    }
    value["length_ms"] = Json::Int64(length.count());
    return value;
}

} // namespace papayabridge

/// \file statistics.hpp
/// Counts and latencies of one rank in one phase.

#pragma once

#include "client.hpp"

#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <json/value.h>
#include <map>

namespace papayabridge {

/// Latencies on a logarithmic axis from 0.05 ms to 1000 s; each bin is 1 % wide.
class latency_histogram
{
public:
    void add(std::chrono::microseconds latency);
    /// The latency that \p part of all (0 to 1) do not exceed; 0 if there are none.
    double quantile_ms(double part) const;

private:
    static constexpr unsigned bins = 1700;
    static constexpr double least_ms = 0.05;
    static constexpr double most_ms = 1e6;
    using axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<axis>> histogram_ =
        boost::histogram::make_histogram(axis(bins, least_ms, most_ms));
    std::uint64_t count_ = 0;
};

/// Reads of one kind.
struct read_counts
{
    std::uint64_t served = 0;
    std::uint64_t by_replica = 0;
};

/// One rank in one phase.
struct rank_counts
{
    std::uint64_t sent = 0;
    /// Arrived over the limit of requests in progress.
    std::uint64_t not_sent = 0;
    std::uint64_t served = 0;
    std::uint64_t within_target = 0;
    /// It may or may not have run.
    std::uint64_t unknown = 0;
    std::map<std::string, std::uint64_t> refused;
    /// By kind, or by age where no kind is named.
    std::map<std::string, read_counts> reads;
    latency_histogram latencies;
    /// Slot time of statements that were answered in this phase.
    std::chrono::milliseconds slot_time{0};

    void ended(const load_stream& stream, const load_answer& answer,
               std::chrono::microseconds latency);
};

/// The counts of a phase; \p length gives the rates.
Json::Value to_value(const by_rank<rank_counts>& counts,
                     std::chrono::milliseconds length);

} // namespace papayabridge

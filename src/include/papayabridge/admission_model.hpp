/// \file admission_model.hpp
/// Drives the admission of one member in simulated time, to compare strategies.
///
/// Arrivals are Poisson and open loop; the time that a statement holds a slot is
/// exponential. The same options and seed always give the same result.

#pragma once

#include <chrono>
#include <cstdint>
#include <papayabridge/admission.hpp>
#include <vector>

namespace papayabridge {

/// One stream of arrivals.
struct model_stream
{
    papayabridge::rank rank = rank::normal;
    caller_id caller;
    double per_second = 0;
    /// Mean time that a statement holds a slot.
    std::chrono::microseconds service{20000};
    /// An answer within this time counts as served within target.
    std::chrono::milliseconds target{1000};
    /// A statement that has not started by then expires.
    std::chrono::milliseconds deadline{5000};
};

/// One run of the model.
struct model_options
{
    admission_options admission;
    std::vector<model_stream> streams;
    /// Arrivals before this time are run but not counted.
    std::chrono::milliseconds warmup{2000};
    std::chrono::milliseconds duration{30000};
    std::uint64_t seed = 1;
};

/// What one stream got.
struct model_stream_result
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t within_target = 0;
    std::uint64_t refused_full = 0;
    std::uint64_t refused_deadline = 0;
    std::uint64_t expired = 0;
    /// Slot time within the counted part of the run.
    std::chrono::microseconds slot_time{0};
    /// Latency of each served statement.
    std::vector<std::chrono::microseconds> latencies;
};

/// What a run gave.
struct model_result
{
    /// In the order of the streams.
    std::vector<model_stream_result> streams;
    unsigned max_running = 0;
    /// Slot time that was free while something waited; 0 if work-conserving.
    std::chrono::microseconds wasted_slot_time{0};
    /// Slot time of the counted part of the run, in all.
    std::chrono::microseconds capacity{0};
    /// Whether each statement ended exactly once.
    bool each_ended_once = true;
};

/// Runs the model to the last arrival, and until all that waits has ended.
model_result run_admission_model(const model_options& options);

} // namespace papayabridge

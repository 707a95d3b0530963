/// \file admission_model.hpp
/// Runs the admission control of one member in simulated time, to compare strategies.
///
/// Arrivals are an open-loop Poisson process; service times are exponentially
/// distributed. The same options and seed always give the same result.

#pragma once

#include <chrono>
#include <cstdint>
#include <papayabridge/admission.hpp>
#include <vector>

namespace papayabridge {

/// A stream of statements of one rank and caller.
struct model_stream
{
    papayabridge::rank rank = rank::normal;
    caller_id caller;
    double per_second = 0;
    /// Mean time that a statement holds a slot.
    std::chrono::microseconds service{20000};
    /// An answer within this time counts as served within target.
    std::chrono::milliseconds target{1000};
    /// A statement that has not started within this time expires.
    std::chrono::milliseconds deadline{5000};
};

/// Options of a simulation run.
struct model_options
{
    admission_options admission;
    std::vector<model_stream> streams;
    /// Arrivals before this time are simulated but not counted.
    std::chrono::milliseconds warmup{2000};
    std::chrono::milliseconds duration{30000};
    std::uint64_t seed = 1;
};

/// Counts and latencies of one stream.
struct model_stream_result
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t within_target = 0;
    std::uint64_t refused_full = 0;
    std::uint64_t refused_deadline = 0;
    std::uint64_t expired = 0;
    /// Slot time used within the counted part of the run.
    std::chrono::microseconds slot_time{0};
    /// Latency of each served statement.
    std::vector<std::chrono::microseconds> latencies;
};

/// Result of a simulation run.
struct model_result
{
    /// In the order of the streams.
    std::vector<model_stream_result> streams;
    unsigned max_running = 0;
    /// Slot time left idle while statements waited; 0 if the strategy is
    /// work-conserving.
    std::chrono::microseconds wasted_slot_time{0};
    /// Total slot time of the counted part of the run.
    std::chrono::microseconds capacity{0};
    /// Whether every statement was answered, refused or expired exactly once.
    bool each_ended_once = true;
};

/// Runs the simulation until the last arrival, then until all waiting statements have
/// ended.
model_result run_admission_model(const model_options& options);

} // namespace papayabridge

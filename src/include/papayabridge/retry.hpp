/// \file retry.hpp
/// Limits how much work retries and hedged reads add. No input or output.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace papayabridge {

/// Options of a retry budget.
struct retry_budget_options
{
    /// Retries allowed for each hundred first tries.
    unsigned percent = 20;
    /// Retries that may be saved up.
    unsigned burst = 20;
};

/// Earns a part of a retry with each first try. Not thread-safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    /// Counts a first try.
    void record_first_attempt() noexcept;
    /// Takes one retry; false if the budget is spent.
    bool try_spend() noexcept;
    /// Whole retries left.
    unsigned remaining() const noexcept;

private:
    retry_budget_options options_;
    unsigned hundredths_;
};

/// The wait before try number \p attempt (from 1): doubles from \p base up to \p most.
std::chrono::milliseconds backoff(unsigned attempt, std::chrono::milliseconds base,
                                  std::chrono::milliseconds most) noexcept;

/// A wait between half of \p whole and all of it. \p random is uniform in [0, 1).
std::chrono::milliseconds with_jitter(std::chrono::milliseconds whole,
                                      double random) noexcept;

/// Options of a hedge policy.
struct hedge_options
{
    /// Latencies that are remembered.
    std::size_t max_samples = 256;
    /// Latencies needed before anything is hedged.
    std::size_t min_samples = 32;
    /// Least wait before a hedge.
    std::chrono::microseconds min_delay{2000};
};

/// Says when a read that is not answered yet is sent to a second member: after the 95th
/// percentile of recent latencies. Not thread-safe.
class hedge_policy
{
public:
    explicit hedge_policy(hedge_options options = {});

    /// Remembers the latency of an answered read.
    void record_latency(std::chrono::microseconds latency);
    /// The wait before a hedge; nothing while too few latencies are known, or where
    /// the hedge could not be answered within \p time_left.
    std::optional<std::chrono::microseconds>
    delay(std::chrono::microseconds time_left) const;

private:
    void refresh();

    hedge_options options_;
    std::vector<std::chrono::microseconds> recent_;
    std::size_t next_ = 0;
    std::size_t since_refresh_ = 0;
    std::chrono::microseconds p95_{0};
};

} // namespace papayabridge

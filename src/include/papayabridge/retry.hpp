/// \file retry.hpp
/// Limits for the load added by retries and hedged reads. Does no I/O.

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
    /// Retries earned by 100 first attempts.
    unsigned percent = 20;
    /// Maximum number of retries saved up.
    unsigned burst = 20;
};

/// Limits retries to a percentage of first attempts plus a burst. Starts with a full
/// burst. Not thread-safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    /// Adds the credit earned by a first attempt.
    void record_first_attempt() noexcept;
    /// Spends one retry; false if the budget is exhausted.
    bool try_spend() noexcept;
    /// Number of retries that can be spent.
    unsigned remaining() const noexcept;

private:
    retry_budget_options options_;
    /// Credit in hundredths of a retry.
    unsigned hundredths_;
};

/// Exponential backoff before attempt \p attempt (from 1): doubles from \p base up to
/// \p max.
std::chrono::milliseconds backoff(unsigned attempt, std::chrono::milliseconds base,
                                  std::chrono::milliseconds max) noexcept;

/// Reduces \p delay by up to half. \p random is uniform in [0, 1).
std::chrono::milliseconds with_jitter(std::chrono::milliseconds delay,
                                      double random) noexcept;

/// Options of a hedging policy.
struct hedge_options
{
    /// Number of latest latencies that are kept.
    std::size_t max_samples = 256;
    /// Number of latencies needed before reads are hedged.
    std::size_t min_samples = 32;
    /// Minimum delay before a hedge.
    std::chrono::microseconds min_delay{2000};
};

/// Decides when an unanswered read is also sent to a second member: after the 95th
/// percentile of recent latencies. Not thread-safe.
class hedge_policy
{
public:
    explicit hedge_policy(hedge_options options = {});

    /// Records the latency of an answered read.
    void record_latency(std::chrono::microseconds latency);
    /// The delay before a hedge; nothing while too few latencies are known, or if the
    /// hedge is not expected to be answered within \p time_left.
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

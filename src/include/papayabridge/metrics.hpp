/// \file metrics.hpp
/// Counters, gauges and latency histograms of one process, with Prometheus text output.
///
/// Look up a metric once and keep the reference: it stays valid as long as the registry,
/// and updates take no lock.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace papayabridge {

/// Label names and values of a metric, such as {{"rank", "urgent"}}.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// A monotonically increasing count. Thread-safe.
class counter
{
public:
    void add(std::uint64_t by = 1) noexcept
    {
        value_.fetch_add(by, std::memory_order_relaxed);
    }
    std::uint64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that can go up and down. Thread-safe.
class gauge
{
public:
    void set(std::int64_t value) noexcept
    {
        value_.store(value, std::memory_order_relaxed);
    }
    void add(std::int64_t by) noexcept
    {
        value_.fetch_add(by, std::memory_order_relaxed);
    }
    std::int64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_{0};
};

/// A latency histogram with logarithmic bins from 50 microseconds to 100 seconds.
/// Thread-safe.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();

    void record(std::chrono::nanoseconds latency) noexcept;
    /// Number of recorded latencies.
    std::uint64_t count() const noexcept;
    /// The quantile \p part (0 to 1), rounded up to the upper edge of its bin; 0 if
    /// nothing was recorded.
    std::chrono::nanoseconds quantile(double part) const;
    /// Appends this histogram to \p text in the Prometheus text format.
    void write(std::string& text, const std::string& name,
               const metric_labels& labels) const;

private:
    struct bins;
    std::unique_ptr<bins> bins_;
    std::atomic<std::int64_t> sum_nanoseconds_{0};
};

/// A registry of metrics. Thread-safe.
class metrics
{
public:
    /// The registry of this process.
    static metrics& process();

    /// Returns the metric \p name with \p labels; creates it on first use.
    counter& counter_of(std::string name, metric_labels labels = {});
    gauge& gauge_of(std::string name, metric_labels labels = {});
    /// Does the same for a histogram; \p name must end in "_seconds".
    latency_histogram& latency_of(std::string name, metric_labels labels = {});

    /// All metrics in the Prometheus text format, ordered by name and labels.
    std::string prometheus_text() const;

private:
    template <class Metric>
    using family =
        std::map<std::string, std::map<metric_labels, std::unique_ptr<Metric>>>;

    mutable std::mutex mutex_;
    family<counter> counters_;
    family<gauge> gauges_;
    family<latency_histogram> latencies_;
};

} // namespace papayabridge

/// \file log_pipeline.hpp
/// Passes log lines from the threads that log to a writer thread, the only one that may
/// block on the reader of the log.

#pragma once

#include "core/observability/log_budget.hpp"
#include "core/observability/log_queue.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace papayabridge {

/// Settings of a pipeline.
struct log_pipeline_options
{
    /// Name of the process in each line.
    std::string process;
    /// Limits of lines per second, by class of event.
    log_rates rates;
    /// Writes a batch of lines, which does not end with a line feed. Runs on the writer
    /// thread and may block.
    std::function<void(const std::string&)> sink;
    /// Lines are collected for this long before a write, because a wake-up and a write
    /// each cost more than a line.
    std::chrono::milliseconds batch_time{100};
    /// Queue size for each class of lines; holds several seconds at the highest rates.
    std::size_t queue_bytes = 512 * 1024;
};

/// Queue of log lines with its writer thread. Thread-safe. Never destroyed, because the
/// thread runs until the process ends.
class log_pipeline
{
public:
    /// Creates a pipeline and starts its thread.
    static log_pipeline& start(log_pipeline_options options);

    /// Queues one line, or counts it as held back if its rate or the queue is exceeded.
    /// Never waits for the sink.
    void write(log_event event, log_fields fields);
    /// Waits until all lines are written, at most for \p timeout.
    void flush(std::chrono::milliseconds timeout);

private:
    using clock = std::chrono::steady_clock;

    explicit log_pipeline(log_pipeline_options options)
        : options_(std::move(options)), budget_(options_.rates),
          queue_(options_.queue_bytes)
    {
    }

    /// The loop of the writer thread.
    void run();
    /// Logs how many lines of each event were held back, at most once a second except
    /// during a flush. Requires the mutex.
    void report_held_back();
    /// Formats and queues a line, or counts it as lost if the queue is full. Requires the
    /// mutex.
    void enqueue(log_event event, log_fields fields);

    const log_pipeline_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    /// The sink is writing a batch.
    bool writing_ = false;
    /// Lines were held back or lost since the last report.
    bool has_unreported_losses_ = false;
    bool flushing_ = false;
    clock::time_point reported_at_;
    log_budget budget_;
    log_queue queue_;
};

/// Sets the pipeline that log_line() writes to; with nullptr, lines are discarded.
void set_log_pipeline(log_pipeline* log);

} // namespace papayabridge

/// \file log_pipeline.hpp
/// Takes lines from the threads that write them to the one that may wait for the reader.

#pragma once

#include "core/log_budget.hpp"
#include "core/log_queue.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace papayabridge {

/// What a pipeline is made of.
struct log_pipeline_options
{
    std::string process;
    log_rates rates;
    /// Writes some lines, without the last line feed; may block.
    std::function<void(const std::string&)> sink;
    /// Lines are collected for so long, as each wake-up and each write costs more than a
    /// line.
    std::chrono::milliseconds batch_time{100};
    /// Of each class of lines; some seconds at the highest rates.
    std::size_t queue_bytes = 512 * 1024;
};

/// Thread-safe. Its thread runs until the process ends, so it is never destroyed.
class log_pipeline
{
public:
    /// A pipeline with a running thread.
    static log_pipeline& start(log_pipeline_options options);

    /// Queues one line, or counts it as held back.
    void write(log_event event, log_fields fields);
    /// Waits until all lines are written, at most for \p patience.
    void flush(std::chrono::milliseconds patience);

private:
    using clock = std::chrono::steady_clock;

    explicit log_pipeline(log_pipeline_options options)
        : options_(std::move(options)), budget_(options_.rates),
          queue_(options_.queue_bytes)
    {
    }

    void run();
    void report_held_back();
    void offer(log_event event, log_fields fields);

    const log_pipeline_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool writing_ = false;
    bool lost_some_ = false;
    bool flushing_ = false;
    clock::time_point reported_at_;
    log_budget budget_;
    log_queue queue_;
};

/// Where log_line() writes from now on; nothing is written without one.
void set_log_pipeline(log_pipeline* log);

} // namespace papayabridge

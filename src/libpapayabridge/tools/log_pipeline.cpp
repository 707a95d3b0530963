#include "log_pipeline.hpp"

#include <papayabridge/events.hpp>
#include <papayabridge/metrics.hpp>

#include <thread>

namespace papayabridge {

namespace {

constexpr std::size_t batch_bytes = 64 * 1024;
// Shortest time between two reports of the lines that were held back.
constexpr std::chrono::seconds report_period{1};

} // namespace

log_pipeline& log_pipeline::start(log_pipeline_options options)
{
    auto* pipeline = new log_pipeline(std::move(options));
    std::thread([pipeline] { pipeline->run(); }).detach();
    return *pipeline;
}

void log_pipeline::enqueue(log_event event, log_fields fields)
{
    auto text =
        format_log_line(event, hybrid_clock::process().tick(), options_.process, fields);
    if (!queue_.offer({.event = event, .text = std::move(text)})) {
        budget_.count_lost(event, clock::now());
        has_unreported_losses_ = true;
    }
}

void log_pipeline::write(log_event event, log_fields fields)
{
    std::lock_guard lock(mutex_);
    bool was_empty = queue_.empty();
    if (budget_.admit(event, clock::now())) {
        enqueue(event, fields);
    } else {
        has_unreported_losses_ = true;
    }
    if (was_empty && !queue_.empty()) {
        changed_.notify_all();
    }
}

void log_pipeline::report_held_back()
{
    auto now = clock::now();
    if (!has_unreported_losses_ || (!flushing_ && now - reported_at_ < report_period)) {
        return;
    }
    reported_at_ = now;
    has_unreported_losses_ = false;
    for (const auto& [event, lines] : budget_.take_held_back()) {
        metrics::process()
            .counter_of("papaya_log_lines_held_back_total",
                        {{"event", std::string(row_of(event).name)}})
            .add(lines);
        enqueue(log_event::lines_held_back,
                {{"of", row_of(event).name}, {"lines", log_number(lines)}});
    }
}

void log_pipeline::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        auto has_lines = [this] { return !queue_.empty(); };
        if (has_unreported_losses_) {
            // Wakes up in time to report held-back lines even if no other line follows.
            changed_.wait_until(lock, reported_at_ + report_period,
                                [&] { return has_lines() || flushing_; });
        } else {
            changed_.wait(lock, [&] { return has_lines() || has_unreported_losses_; });
        }
        changed_.wait_for(lock, options_.batch_time, [this] { return flushing_; });
        report_held_back();
        while (!queue_.empty()) {
            auto text = queue_.take(batch_bytes);
            writing_ = true;
            lock.unlock();
            options_.sink(text);
            lock.lock();
            writing_ = false;
        }
        changed_.notify_all();
    }
}

void log_pipeline::flush(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    flushing_ = true;
    changed_.notify_all();
    changed_.wait_for(lock, timeout, [this] {
        return queue_.empty() && !writing_ && !has_unreported_losses_;
    });
    flushing_ = false;
}

} // namespace papayabridge

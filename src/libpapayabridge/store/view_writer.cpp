#include "view_writer.hpp"

#include <papayabridge/log.hpp>

namespace papayabridge {

view_writer::view_writer(view_writer_options options)
    : options_(std::move(options)), writer_([this] { run(); })
{
}

view_writer::~view_writer()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    writer_.join();
}

void view_writer::set_newest(control_state state)
{
    std::lock_guard lock(mutex_);
    newest_ = std::move(state);
    changed_.notify_all();
}

void view_writer::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || newest_; });
        if (!newest_) {
            return;
        }
        auto state = std::move(*newest_);
        newest_.reset();
        lock.unlock();
        auto stored = options_.store(state);
        log_outcome(stored);
        lock.lock();
        if (stored) {
            continue;
        }
        changed_.wait_for(lock, options_.retry_interval, [this] { return stopping_; });
        if (stopping_) {
            return;
        }
        if (!newest_) {
            newest_ = std::move(state);
        }
    }
}

void view_writer::log_outcome(const result<void>& stored)
{
    auto now = std::chrono::steady_clock::now();
    if (!stored && !failing_since_) {
        failing_since_ = now;
        log_line(log_event::view_not_stored, {{"detail", stored.error().detail}});
    } else if (stored && failing_since_) {
        log_line(log_event::view_stored_again,
                 {{"after_us", log_us(now - *failing_since_)}});
        failing_since_.reset();
    }
}

} // namespace papayabridge

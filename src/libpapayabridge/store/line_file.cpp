#include "line_file.hpp"

#include <cerrno>
#include <cstring>
#include <papayabridge/log.hpp>

namespace papayabridge {

line_file::line_file(file_calls& files, line_file_options options)
    : files_(files), options_(std::move(options)), writer_([this] { run(); })
{
}

line_file::~line_file()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    writer_.join();
    if (file_ >= 0) {
        files_.close(file_);
    }
}

void line_file::append(std::string_view line)
{
    std::lock_guard lock(mutex_);
    if (pending_.size() + line.size() >= options_.max_pending_bytes) {
        ++dropped_lines_;
        return;
    }
    pending_.append(line);
    pending_ += '\n';
    changed_.notify_all();
}

void line_file::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
        if (pending_.empty()) {
            return;
        }
        std::string taken;
        taken.swap(pending_);
        std::string_view text = taken;
        while (!text.empty()) {
            lock.unlock();
            bool written = write_some(text);
            record_outcome(written);
            lock.lock();
            if (!written) {
                changed_.wait_for(lock, options_.retry_interval,
                                  [this] { return stopping_; });
            }
            if (!written && stopping_) {
                return;
            }
        }
    }
}

bool line_file::write_some(std::string_view& text)
{
    if (file_ < 0) {
        file_ = files_.open(options_.path, true);
    }
    auto count = file_ < 0 ? -1 : files_.write(file_, text);
    if (count < 0 && errno == EINTR) {
        return true;
    }
    if (count <= 0) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(count));
    return true;
}

void line_file::record_outcome(bool written)
{
    if (written != is_failing_) {
        return;
    }
    const char* reason = std::strerror(errno);
    is_failing_ = !written;
    if (is_failing_) {
        log_line(log_event::event_file_failed,
                 {{"detail", options_.path + ": " + reason}});
        return;
    }
    std::lock_guard lock(mutex_);
    log_line(log_event::event_file_recovered, {{"lines", log_number(dropped_lines_)}});
    dropped_lines_ = 0;
}

} // namespace papayabridge

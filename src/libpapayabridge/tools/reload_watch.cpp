#include "reload_watch.hpp"

#include <papayabridge/daemon.hpp>
#include <sys/stat.h>

namespace papayabridge {

namespace {

// A change without a signal is taken over within about this time.
constexpr std::chrono::milliseconds look_period{1000};
constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

} // namespace

settings_watcher::settings_watcher(const boost::asio::any_io_executor& executor,
                                   std::string file, taker take)
    : timer_(executor), file_(std::move(file)), take_(std::move(take)), seen_(mark())
{
}

settings_watcher::file_mark settings_watcher::mark() const
{
    struct stat found = {};
    if (::stat(file_.c_str(), &found) != 0) {
        return {};
    }
    return {.changed_ns =
                found.st_mtim.tv_sec * nanoseconds_per_second + found.st_mtim.tv_nsec,
            .inode = found.st_ino,
            .size = found.st_size};
}

void settings_watcher::start()
{
    look();
}

void settings_watcher::look()
{
    auto now = mark();
    if (!(now == seen_) && now.size != 0) {
        reload();
    }
    timer_.expires_after(look_period);
    timer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) {
            look();
        }
    });
}

void settings_watcher::reload()
{
    seen_ = mark();
    auto document = settings_document::open(file_);
    if (document.problems().empty()) {
        take_(document);
    }
    if (!document.problems().empty()) {
        log_line(log_event::settings_refused, {{"detail", document.problem_text()}});
    }
}

} // namespace papayabridge

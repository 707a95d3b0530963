#include "settings_watcher.hpp"

#include <papayabridge/daemon.hpp>
#include <sys/stat.h>

namespace papayabridge {

namespace {

// A changed file is applied within about this time even without a signal.
constexpr std::chrono::milliseconds check_period{1000};
constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

} // namespace

settings_watcher::settings_watcher(const boost::asio::any_io_executor& executor,
                                   std::string file, apply_function apply)
    : timer_(executor), file_(std::move(file)), apply_(std::move(apply)),
      last_stamp_(read_file_stamp())
{
}

settings_watcher::file_stamp settings_watcher::read_file_stamp() const
{
    struct stat attributes = {};
    if (::stat(file_.c_str(), &attributes) != 0) {
        return {};
    }
    return {.modified_ns = attributes.st_mtim.tv_sec * nanoseconds_per_second +
                           attributes.st_mtim.tv_nsec,
            .inode = attributes.st_ino,
            .size = attributes.st_size};
}

void settings_watcher::start()
{
    check_file();
}

void settings_watcher::check_file()
{
    auto current = read_file_stamp();
    if (!(current == last_stamp_) && current.size != 0) {
        reload();
    }
    timer_.expires_after(check_period);
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            check_file();
        }
    });
}

void settings_watcher::reload()
{
    last_stamp_ = read_file_stamp();
    auto document = settings_document::open(file_);
    if (document.problems().empty()) {
        apply_(document);
    }
    if (!document.was_read()) {
        // No descriptor or memory may have been free; the file need not change for that.
        last_stamp_ = {};
    }
    auto problems = document.problem_text();
    if (!problems.empty() && problems != last_problems_) {
        log_line(log_event::settings_refused, {{"detail", problems}});
    }
    last_problems_ = std::move(problems);
}

} // namespace papayabridge

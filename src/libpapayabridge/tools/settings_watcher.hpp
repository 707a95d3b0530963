/// \file settings_watcher.hpp
/// Reloads the settings file on request, such as on a signal, and when the file changes.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <papayabridge/settings.hpp>
#include <string>

namespace papayabridge {

/// Polls a settings file and applies its changes. Must be used on a single thread. A file
/// that cannot be read is read again. Problems are logged when they change.
class settings_watcher
{
public:
    /// Applies a document without problems; adds problems to it for what it refuses.
    using apply_function = std::function<void(settings_document&)>;

    settings_watcher(const boost::asio::any_io_executor& executor, std::string file,
                     apply_function apply);

    /// Starts to poll the file.
    void start();
    /// Reads and applies the file now, whether it has changed or not.
    void reload();

private:
    /// Attributes by which a change of the file is detected.
    struct file_stamp
    {
        std::int64_t modified_ns = 0;
        std::uint64_t inode = 0;
        std::int64_t size = 0;
        friend bool operator==(const file_stamp&, const file_stamp&) = default;
    };

    /// The current attributes of the file; zeros if it cannot be read.
    file_stamp read_file_stamp() const;
    /// Reloads the file if it has changed, and schedules the next check.
    void check_file();

    boost::asio::steady_timer timer_;
    std::string file_;
    apply_function apply_;
    /// That of the last file that was read.
    file_stamp last_stamp_;
    std::string last_problems_;
};

} // namespace papayabridge

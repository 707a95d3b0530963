/// \file line_file.hpp
/// Appends lines to a file on a thread of its own, so that no caller waits for the disk.

#pragma once

#include "file_calls.hpp"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <thread>

namespace papayabridge {

/// Options of a line file.
struct line_file_options
{
    std::string path;
    /// Lines that do not fit are dropped and counted.
    std::size_t max_pending_bytes = 1024 * 1024;
    /// A write that fails is tried again after this time.
    std::chrono::milliseconds retry_interval{1000};
};

/// A file of lines with its writer thread. Thread-safe.
class line_file
{
public:
    /// \p files must outlive this object.
    line_file(file_calls& files, line_file_options options);
    /// Writes what is pending, unless the file fails.
    ~line_file();
    line_file(const line_file&) = delete;
    line_file& operator=(const line_file&) = delete;

    /// Queues \p line, which has no line feed.
    void append(std::string_view line);

private:
    void run();
    /// Writes the start of \p text and removes it; false on a failure.
    bool write_some(std::string_view& text);
    /// Logs the failure of the file, or its end.
    void record_outcome(bool written);

    file_calls& files_;
    const line_file_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::string pending_;
    std::size_t dropped_lines_ = 0;
    bool stopping_ = false;
    // Used by the writer thread only.
    int file_ = -1;
    bool is_failing_ = false;
    std::thread writer_;
};

} // namespace papayabridge

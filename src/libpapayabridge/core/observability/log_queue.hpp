/// \file log_queue.hpp
/// Lines on their way to the writer, bounded in bytes. No input or output.

#pragma once

#include <array>
#include <deque>
#include <papayabridge/log.hpp>

namespace papayabridge {

/// A line and what it is about.
struct queued_line
{
    log_event event;
    std::string text;
};

/// Each class has its own bound, so that ordinary lines never displace those of failed
/// requests. Not thread-safe.
class log_queue
{
public:
    /// \p most_bytes is the bound of each class.
    explicit log_queue(std::size_t most_bytes) : most_bytes_(most_bytes) {}

    /// Takes \p line; false if its class is full.
    bool offer(queued_line line);
    /// The lines that fit into \p most_bytes, at least one if there are any, each with a
    /// line feed but the last: those of changes and failed requests first.
    std::string take(std::size_t most_bytes);
    bool empty() const noexcept;

private:
    struct lane
    {
        std::deque<queued_line> lines;
        std::size_t bytes = 0;
    };

    std::size_t most_bytes_;
    std::array<lane, static_cast<std::size_t>(log_class::ordinary) + 1> lanes_;
};

} // namespace papayabridge

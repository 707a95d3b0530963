/// \file view_writer.hpp
/// Stores the newest control state of an entry on a thread of its own, so that the
/// control thread does not wait for the disk.

#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <papayabridge/control_state.hpp>
#include <papayabridge/error.hpp>
#include <thread>

namespace papayabridge {

/// Options of a view writer.
struct view_writer_options
{
    /// Stores a state durably, see store_view(). Called on the writer's thread only.
    std::function<result<void>(const control_state&)> store;
    /// A state that could not be stored is stored again after this time, unless there is
    /// a newer one.
    std::chrono::milliseconds retry_interval{1000};
};

/// The writer and its thread. Thread-safe.
class view_writer
{
public:
    explicit view_writer(view_writer_options options);
    /// Stores the newest state, unless the disk fails.
    ~view_writer();
    view_writer(const view_writer&) = delete;
    view_writer& operator=(const view_writer&) = delete;

    /// Takes \p state; one that is still waiting is dropped.
    void set_newest(control_state state);

private:
    void run();
    /// Logs the first failure, and the success after it.
    void log_outcome(const result<void>& stored);

    const view_writer_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<control_state> newest_;
    bool stopping_ = false;
    // Used by the writer thread only.
    std::optional<std::chrono::steady_clock::time_point> failing_since_;
    std::thread writer_;
};

} // namespace papayabridge

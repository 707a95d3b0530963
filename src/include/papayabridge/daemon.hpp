/// \file daemon.hpp
/// Common parts of all daemons: command line, settings file, threads, signals, logs.
///
/// main() calls parse_daemon_options(), reads its settings with
/// settings_document::open(), and runs a `daemon_runtime` until a signal stops it.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <papayabridge/error.hpp>
#include <papayabridge/log.hpp>
#include <papayabridge/settings.hpp>
#include <string>
#include <thread>
#include <vector>

namespace papayabridge {

/// Exit codes of all programs; see docs/CONFIG.md.
enum class exit_code : int
{
    success = 0,
    /// A required check failed.
    check_failed = 1,
    /// The command line is invalid.
    usage = 2,
    /// The settings are invalid.
    bad_settings = 3,
    /// An address or file could not be used.
    cannot_start = 4,
};

/// The command line of a daemon.
struct daemon_options
{
    std::string settings_file;
    /// Check the settings and exit.
    bool check_config = false;
};

/// Parses "--settings FILE [--check-config]"; handles --help and --version. Exits with
/// exit_code::usage if the command line is invalid.
daemon_options parse_daemon_options(int argc, char** argv,
                                    const std::string& description);

/// Returns if the settings are valid and the daemon is to run. Otherwise prints the
/// problems, or that the settings were accepted under --check-config, and exits.
void validate_settings_or_exit(const daemon_options& options,
                               const settings_document& document);

/// Flushes the log and exits without running destructors: pending operations may still
/// refer to objects that these would destroy.
[[noreturn]] void flush_log_and_exit(exit_code code);

/// One io_context for control and N for traffic, each run by one thread.
class daemon_runtime
{
public:
    explicit daemon_runtime(std::size_t traffic_threads);
    ~daemon_runtime();

    boost::asio::io_context& control_context() noexcept { return control_; }
    std::vector<boost::asio::io_context*> traffic_contexts() const;

    /// Runs all contexts until stop(). The first SIGTERM or SIGINT calls \p on_signal on
    /// the control thread; a second one calls stop(). Each SIGHUP calls \p on_reload.
    void run(std::function<void()> on_signal, std::function<void()> on_reload = {});
    /// Makes run() return. Thread-safe.
    void stop();

private:
    boost::asio::io_context control_{1};
    std::vector<std::unique_ptr<boost::asio::io_context>> traffic_;
};

} // namespace papayabridge

/// \file daemon.hpp
/// What all daemons share: command line, settings file, threads, signals, logs.
///
/// main() calls parse_daemon_options(), reads its settings with open_settings(), and runs
/// a `daemon_runtime` until a signal asks it to stop.

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
    /// A check that must hold did not.
    check_failed = 1,
    /// The command line is wrong.
    usage = 2,
    /// The settings are refused.
    bad_settings = 3,
    /// An address or file could not be used.
    cannot_start = 4,
};

/// The command line of a daemon.
struct daemon_options
{
    std::string settings_file;
    /// Only check the settings and exit.
    bool check_config = false;
};

/// Parses "--settings FILE [--check-config]"; handles --help and --version. Exits with
/// exit_code::usage if the command line is wrong.
daemon_options parse_daemon_options(int argc, char** argv,
                                    const std::string& description);

/// Ends the process where the settings have problems, printing all of them, or where
/// only a check was asked for.
void validate_settings_or_exit(const daemon_options& options,
                               const settings_document& document);

/// Ends the process without destroying what calls that are still waiting refer to.
[[noreturn]] void flush_log_and_exit(exit_code code);

/// One context for control and N for traffic, a thread each.
class daemon_runtime
{
public:
    explicit daemon_runtime(std::size_t traffic_threads);
    ~daemon_runtime();

    boost::asio::io_context& control_context() noexcept { return control_; }
    /// The contexts of the traffic threads.
    std::vector<boost::asio::io_context*> traffic_contexts() const;

    /// Runs until stop(); \p on_signal is called on the control thread at the first
    /// SIGTERM or SIGINT, and a second one ends the process at once. \p on_reload is
    /// called at each SIGHUP.
    void run(std::function<void()> on_signal, std::function<void()> on_reload = {});
    /// Ends run(). Thread-safe.
    void stop();

private:
    boost::asio::io_context control_{1};
    std::vector<std::unique_ptr<boost::asio::io_context>> traffic_;
};

} // namespace papayabridge

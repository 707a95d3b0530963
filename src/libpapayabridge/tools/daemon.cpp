#include <papayabridge/daemon.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

namespace papayabridge {

namespace net = boost::asio;

namespace {

// Limits the delay of the exit if the reader of standard output has stopped reading.
constexpr std::chrono::milliseconds exit_flush_timeout{200};

} // namespace

daemon_options parse_daemon_options(int argc, char** argv, const std::string& description)
{
    daemon_options options;
    try {
        TCLAP::CmdLine command_line(description, ' ', PAPAYABRIDGE_VERSION);
        command_line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> settings("s", "settings",
                                              "settings file: JSON with comments", true,
                                              "", "FILE", command_line);
        TCLAP::SwitchArg check("c", "check-config", "check the settings file and exit",
                               command_line);
        command_line.parse(argc, argv);
        options.settings_file = settings.getValue();
        options.check_config = check.getValue();
    } catch (const TCLAP::ExitException& exception) {
        std::exit(exception.getExitStatus());
    } catch (const TCLAP::ArgException& exception) {
        std::cerr << argv[0] << ": " << exception.error() << " " << exception.argId()
                  << "; see --help\n";
        std::exit(static_cast<int>(exit_code::usage));
    }
    return options;
}

void validate_settings_or_exit(const daemon_options& options,
                               const settings_document& document)
{
    if (!document.problems().empty()) {
        std::cerr << document.problem_text();
        std::exit(static_cast<int>(exit_code::bad_settings));
    }
    if (options.check_config) {
        std::cout << options.settings_file << ": accepted\n";
        std::exit(static_cast<int>(exit_code::success));
    }
}

void flush_log_and_exit(exit_code code)
{
    flush_log(exit_flush_timeout);
    std::cerr.flush();
    std::_Exit(static_cast<int>(code));
}

daemon_runtime::daemon_runtime(std::size_t traffic_threads)
{
    for (std::size_t i = 0; i < traffic_threads; ++i) {
        traffic_.push_back(std::make_unique<net::io_context>(1));
    }
}

daemon_runtime::~daemon_runtime() = default;

std::vector<net::io_context*> daemon_runtime::traffic_contexts() const
{
    std::vector<net::io_context*> contexts;
    for (const auto& context : traffic_) {
        contexts.push_back(context.get());
    }
    return contexts;
}

void daemon_runtime::run(std::function<void()> on_signal, std::function<void()> on_reload)
{
    std::signal(SIGPIPE, SIG_IGN);
    net::signal_set hangup_signals(control_, SIGHUP);
    std::function<void(boost::system::error_code, int)> on_hangup;
    on_hangup = [&](boost::system::error_code ec, int) {
        if (ec) {
            return;
        }
        hangup_signals.async_wait(on_hangup);
        log_line(log_event::hangup, {{"reloads", on_reload ? "true" : "false"}});
        if (on_reload) {
            on_reload();
        }
    };
    hangup_signals.async_wait(on_hangup);
    net::signal_set termination_signals(control_, SIGTERM, SIGINT);
    std::function<void(boost::system::error_code, int)> on_termination;
    bool stop_requested = false;
    on_termination = [&](boost::system::error_code ec, int) {
        if (ec) {
            return;
        }
        if (stop_requested) {
            // A second signal stops at once.
            stop();
            return;
        }
        stop_requested = true;
        termination_signals.async_wait(on_termination);
        on_signal();
    };
    termination_signals.async_wait(on_termination);
    auto control_guard = net::make_work_guard(control_);
    std::vector<std::thread> threads;
    for (const auto& context : traffic_) {
        threads.emplace_back([&context] {
            auto guard = net::make_work_guard(*context);
            context->run();
        });
    }
    control_.run();
    for (auto& thread : threads) {
        thread.join();
    }
}

void daemon_runtime::stop()
{
    for (const auto& context : traffic_) {
        context->stop();
    }
    control_.stop();
}

} // namespace papayabridge

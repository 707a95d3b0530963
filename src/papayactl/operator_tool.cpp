#include "command_line.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::array<operator_command, 7> commands{{
    {"check", "check a sheet and name every bad cell", &operator_tool::check},
    {"apply", "make a sheet the configuration, all or nothing", &operator_tool::apply},
    {"show", "show the configuration and where it is in force", &operator_tool::show},
    {"status", "show keepers, entries, databases and alarms", &operator_tool::status},
    {"drain", "stop an entry gracefully", &operator_tool::drain},
    {"timeline", "list the events of all processes in order", &operator_tool::timeline},
    {"explain", "tell what happened to one request", &operator_tool::explain},
}};

constexpr unsigned longest_timeout_s = 3600;

} // namespace

std::span<const operator_command> operator_commands() noexcept
{
    return commands;
}

void command_line::asks_fleet()
{
    asks_fleet_ = true;
    line_.add(settings_);
    line_.add(timeout_);
}

void command_line::asks_fleet_or_logs()
{
    asks_fleet();
    line_.add(logs_);
}

common_options command_line::parse(int argc, char** argv)
{
    try {
        line_.parse(argc, argv);
        if (asks_fleet_ && !settings_.isSet() && logs_.getValue().empty()) {
            throw TCLAP::CmdLineParseException("One or more required arguments missing",
                                               "settings");
        }
    } catch (const TCLAP::ExitException& ended) {
        std::exit(ended.getExitStatus());
    } catch (const TCLAP::ArgException& wrong) {
        std::cerr << argv[0] << ": " << wrong.error() << " " << wrong.argId()
                  << "; see --help\n";
        std::exit(static_cast<int>(exit_code::usage));
    }
    auto seconds = timeout_.getValue();
    if (seconds == 0 || seconds > longest_timeout_s) {
        std::cerr << argv[0] << ": --timeout: accepted: 1 to " << longest_timeout_s
                  << "\n";
        std::exit(static_cast<int>(exit_code::usage));
    }
    return {.settings_file = settings_.getValue(),
            .json = json_.getValue(),
            .timeout = std::chrono::seconds(seconds)};
}

exit_code operator_tool::run(const common_options& options, const work& what)
{
    auto document = settings_document::open(options.settings_file);
    auto settings = read_operator_settings(document);
    if (!document.problems().empty()) {
        std::cerr << document.problem_text();
        return exit_code::bad_settings;
    }
    net::io_context context(1);
    fleet processes(context.get_executor(), settings, options.timeout);
    report found;
    auto on_done = [&](const std::exception_ptr& thrown, report made) {
        found = thrown ? failed("the command ended early") : std::move(made);
        context.stop();
    };
    net::co_spawn(context, what(processes), on_done);
    context.run();
    return print(found, options.json);
}

exit_code print(const report& found, bool json)
{
    if (json) {
        auto machine = found.machine;
        machine["ok"] = found.code == exit_code::success;
        std::cout << to_json(machine) << "\n";
    } else {
        auto& out = found.code == exit_code::success ? std::cout : std::cerr;
        out << found.text;
    }
    return found.code;
}

report failed(const std::string& what, exit_code code)
{
    report found;
    found.text = what + "\n";
    found.machine["error"] = what;
    found.code = code;
    return found;
}

Json::Value to_value(const std::vector<std::string>& lines)
{
    Json::Value value(Json::arrayValue);
    for (const auto& line : lines) {
        value.append(line);
    }
    return value;
}

} // namespace papayabridge

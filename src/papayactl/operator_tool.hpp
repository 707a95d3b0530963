/// \file operator_tool.hpp
/// The commands of papayactl.

#pragma once

#include "fleet.hpp"

#include <functional>
#include <papayabridge/daemon.hpp>
#include <span>

namespace papayabridge {

/// What a command found, for people and for machines.
struct report
{
    std::string text;
    Json::Value machine{Json::objectValue};
    exit_code code = exit_code::success;
};

/// Options that several commands have.
struct common_options
{
    std::string settings_file;
    bool json = false;
    std::chrono::milliseconds timeout{5000};
};

class operator_tool;

/// One command.
struct operator_command
{
    std::string_view name;
    std::string_view brief;
    exit_code (operator_tool::*run)();
};

/// All commands, in the order of the help.
std::span<const operator_command> operator_commands() noexcept;

/// Parses the command's own options and runs it.
class operator_tool
{
public:
    /// The arguments of the command, its name being the first.
    operator_tool(int argc, char** argv) : argc_(argc), argv_(argv) {}

    exit_code check();
    exit_code apply();
    exit_code show();
    exit_code status();
    exit_code drain();
    exit_code timeline();
    exit_code explain();

private:
    using work = std::function<net::awaitable<report>(fleet&)>;
    /// Reads the settings file and runs \p work to its end.
    static exit_code run(const common_options& options, const work& what);

    int argc_;
    char** argv_;
};

/// Prints \p found and returns its exit code.
exit_code print(const report& found, bool json);
/// A report of failure: one sentence.
report failed(const std::string& what, exit_code code = exit_code::check_failed);
/// A list for machines.
Json::Value to_value(const std::vector<std::string>& lines);

} // namespace papayabridge

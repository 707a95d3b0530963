/// \file command_line.hpp
/// The command line of one command, with the options that all have.

#pragma once

#include "operator_tool.hpp"

#include <tclap/CmdLine.h>

namespace papayabridge {

/// Accepts whole numbers from 0; TCLAP itself would take "-1" for a large one.
class whole_number : public TCLAP::Constraint<std::string>
{
public:
    std::string description() const override { return "a whole number from 0"; }
    std::string shortID() const override { return "NUMBER"; }
    bool check(const std::string& text) const override
    {
        return parse_unsigned(text).has_value();
    }
};

/// An optional whole number, 0 if absent.
class number_argument
{
public:
    number_argument(const char* flag, const char* name, const char* meaning,
                    TCLAP::CmdLine& line)
        : text_(flag, name, meaning, false, "0", &accepted_, line)
    {
    }

    bool is_set() const { return text_.isSet(); }
    std::uint64_t value() { return parse_unsigned(text_.getValue()).value_or(0); }

private:
    whole_number accepted_;
    TCLAP::ValueArg<std::string> text_;
};

/// Construct it, construct the command's own options with line(), then parse.
class command_line
{
public:
    explicit command_line(const std::string& brief)
        : line_(brief, ' ', PAPAYABRIDGE_VERSION)
    {
        line_.setExceptionHandling(false);
        line_.add(json_);
    }

    TCLAP::CmdLine& line() noexcept { return line_; }
    /// Adds --settings and --timeout, for commands that ask the fleet.
    void asks_fleet();
    /// Adds --log as well, for commands that read files instead where they are given.
    void asks_fleet_or_logs();
    /// The files of --log.
    const std::vector<std::string>& logs() { return logs_.getValue(); }
    /// Ends the process where the command line is wrong, or after --help or --version.
    common_options parse(int argc, char** argv);

private:
    TCLAP::CmdLine line_;
    bool asks_fleet_ = false;
    TCLAP::SwitchArg json_{"", "json", "print one JSON object"};
    TCLAP::ValueArg<std::string> settings_{
        "s", "settings", "settings file: JSON with comments", false, "", "FILE"};
    TCLAP::MultiArg<std::string> logs_{
        "", "log", "log file of a process, read instead of asking the fleet", false,
        "FILE"};
    TCLAP::ValueArg<unsigned> timeout_{
        "",    "timeout", "longest wait for a process, in seconds; default 5",
        false, 5,         "SECONDS"};
};

} // namespace papayabridge

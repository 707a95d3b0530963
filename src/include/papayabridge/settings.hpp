/// \file settings.hpp
/// Validated reading of settings files: JSON with comments.
///
/// A daemon opens its file, reads it through `settings_section` and checks the list of
/// problems at the end. Reading continues after a problem, so that all are reported at
/// once, each with file, line, path, value and the accepted values.

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <json/value.h>
#include <memory>
#include <optional>
#include <papayabridge/error.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayabridge {

/// A problem in a settings file.
struct settings_problem
{
    std::string file;
    std::size_t line = 0;
    std::string path;
    std::string value;
    std::string accepted;

    /// Returns "file:line: path: value; accepted: ...".
    std::string str() const;
};

/// A parsed settings file and the problems found in it so far.
class settings_document
{
public:
    /// Reads and parses \p file. Failure to read or parse it is recorded as a problem.
    static settings_document open(const std::string& file);
    /// Parses \p text; \p file is used only in messages.
    static settings_document parse(std::string file, std::string text);

    const Json::Value& root() const noexcept { return root_; }
    /// Whether the file could be read, whatever it holds.
    bool was_read() const noexcept { return was_read_; }
    const std::vector<settings_problem>& problems() const noexcept { return problems_; }

    /// Adds a problem with \p value, which must be part of root().
    void report(const Json::Value& value, std::string path, std::string accepted);
    /// Adds a problem for a member that is missing in \p object, a part of root().
    void report_missing(const Json::Value& object, std::string path,
                        std::string accepted);
    /// All problems, one a line; empty if there are none.
    std::string problem_text() const;

private:
    void report_unreadable(settings_problem problem);
    std::size_t line_of(const Json::Value& value) const;

    std::string file_;
    std::string text_;
    bool was_read_ = true;
    /// If false, the problem is already recorded and missing members are not reported.
    bool readable_ = true;
    Json::Value root_;
    std::vector<settings_problem> problems_;
};

/// An inclusive range of integers.
struct number_range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

/// A JSON object in a settings document. report_unknown_members() reports every member
/// that was not read.
class settings_section
{
public:
    explicit settings_section(settings_document& document);
    settings_section(settings_document& document, const Json::Value& value,
                     std::string path);

    bool has(const char* name) const;
    /// The names of all members; empty if this is not an object.
    std::vector<std::string> member_names() const;
    /// A required, non-empty string.
    std::string text(const char* name);
    /// An optional string.
    std::string text(const char* name, std::string fallback);
    /// A required integer within \p range.
    std::uint64_t number(const char* name, number_range range);
    std::uint64_t number(const char* name, number_range range, std::uint64_t fallback);
    /// An optional integer number of milliseconds within \p range.
    std::chrono::milliseconds duration(const char* name, number_range range,
                                       std::chrono::milliseconds fallback);
    bool flag(const char* name, bool fallback);
    /// A required "address:port" string with a literal IP address.
    boost::asio::ip::tcp::endpoint endpoint(const char* name);
    /// A nested object; an empty section if absent.
    settings_section section(const char* name);
    /// The elements of an array of objects; empty if absent.
    std::vector<settings_section> list(const char* name);
    /// The elements of an array of "address:port" strings; empty if absent.
    std::vector<boost::asio::ip::tcp::endpoint> endpoints(const char* name);

    /// The addresses of keepers from the array "seeds". The port of each is replaced by
    /// "keeper_port" if that is set.
    std::vector<boost::asio::ip::tcp::endpoint> seeds();

    /// Reports that the value of member \p name is not accepted or conflicts with others.
    void report_invalid(const char* name, std::string accepted);
    /// Reports all members that were not read.
    void report_unknown_members();
    const std::string& path() const noexcept { return path_; }

private:
    const Json::Value* read_member(const char* name);
    std::string path_of(const char* name) const;
    void report_missing_member(const char* name, std::string accepted);

    settings_document* document_;
    const Json::Value* value_;
    std::string path_;
    std::set<std::string> read_names_;
};

/// Parses "address:port"; nothing if it is invalid or not a literal IP address.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);
/// Formats as "address:port"; IPv6 addresses are in brackets.
std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace papayabridge

/// \file settings.hpp
/// Checked reading of settings files: JSON with comments.
///
/// A daemon opens its file, walks it with `settings_section`, and asks for the list of
/// problems at the end. Reading goes on after a problem, so that all are reported at
/// once, each with file, line, path, value and what is accepted.

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

/// One thing wrong in a settings file.
struct settings_problem
{
    std::string file;
    std::size_t line = 0;
    std::string path;
    std::string value;
    std::string accepted;

    /// "file:line: path: value; accepted: ...".
    std::string str() const;
};

/// A settings file in memory, and the problems found in it so far.
class settings_document
{
public:
    /// Reads and parses \p file. A file that cannot be read or parsed is one problem.
    static settings_document open(const std::string& file);
    /// Parses \p text; \p file is used in messages only.
    static settings_document parse(std::string file, std::string text);

    const Json::Value& root() const noexcept { return root_; }
    const std::vector<settings_problem>& problems() const noexcept { return problems_; }

    /// Adds a problem at \p value, which must be part of root().
    void report(const Json::Value& value, std::string path, std::string accepted);
    /// Adds a problem about a member that \p object, a part of root(), does not have.
    void report_missing(const Json::Value& object, std::string path,
                        std::string accepted);
    /// All problems, one a line; empty if there are none.
    std::string problem_text() const;

private:
    void report_unreadable(settings_problem problem);
    std::size_t line_of(const Json::Value& value) const;

    std::string file_;
    std::string text_;
    /// Without a text to read, what is missing in it is no problem of its own.
    bool readable_ = true;
    Json::Value root_;
    std::vector<settings_problem> problems_;
};

/// A range of whole numbers, both ends included.
struct number_range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

/// One JSON object of a settings document. Reading a member marks it known; finish()
/// reports every member that was not read.
class settings_section
{
public:
    explicit settings_section(settings_document& document);
    settings_section(settings_document& document, const Json::Value& value,
                     std::string path);

    bool has(const char* name) const;
    /// The names of all members; empty if this is no object.
    std::vector<std::string> member_names() const;
    /// A required, non-empty string.
    std::string text(const char* name);
    /// An optional string.
    std::string text(const char* name, std::string fallback);
    /// A whole number within \p range.
    std::uint64_t number(const char* name, number_range range);
    std::uint64_t number(const char* name, number_range range, std::uint64_t fallback);
    /// A whole number of milliseconds within \p range.
    std::chrono::milliseconds duration(const char* name, number_range range,
                                       std::chrono::milliseconds fallback);
    bool flag(const char* name, bool fallback);
    /// "address:port" with a literal IP address; required.
    boost::asio::ip::tcp::endpoint endpoint(const char* name);
    /// A nested object; empty if absent.
    settings_section section(const char* name);
    /// Each element of a list of objects; empty if absent.
    std::vector<settings_section> list(const char* name);
    /// Each element of a list of "address:port" strings; empty if absent.
    std::vector<boost::asio::ip::tcp::endpoint> endpoints(const char* name);

    /// Where keepers may be found: the list "seeds", each with the port "keeper_port" in
    /// place of its own, if that is given.
    std::vector<boost::asio::ip::tcp::endpoint> seeds();

    /// Reports that member \p name has a value that clashes or is not accepted.
    void report_invalid(const char* name, std::string accepted);
    /// Reports members that nobody read.
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

/// Parses "address:port"; nothing if the address is not a literal IP address.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);
/// "address:port"; IPv6 addresses in brackets.
std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace papayabridge

/// \file log_story.hpp
/// Log files of several processes, put in order and read for one request.

#pragma once

#include <istream>
#include <json/value.h>
#include <string>
#include <vector>

namespace papayabridge {

/// The lines of some files.
struct log_lines
{
    std::vector<Json::Value> lines;
    /// Lines that are no log lines of ours.
    std::size_t unreadable = 0;
};

/// Adds the lines of \p in to \p to. What a collector put before the JSON is passed over.
void read_log(std::istream& in, log_lines& to);
/// Orders them by stamp, each once.
void put_in_order(log_lines& all);
/// A line for people: time, process, event, the fields.
std::string log_line_text(const Json::Value& line);

/// What is known of one request.
struct request_story
{
    /// The lines of the request itself.
    std::vector<Json::Value> own;
    /// Changes shortly before, during and after, at the processes that served the request
    /// or about members that it was tried at.
    std::vector<Json::Value> around;
};
/// \p all is in order; "shortly" is \p within_ms.
request_story story_of(const log_lines& all, const std::string& request,
                       std::uint64_t within_ms);

} // namespace papayabridge

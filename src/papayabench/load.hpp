/// \file load.hpp
/// Closed-loop HTTP load on one address.

#pragma once

#include <json/value.h>
#include <papayabridge/http.hpp>

namespace papayabench {

/// What to send, and how much.
struct load_options
{
    papayabridge::tcp::endpoint remote;
    /// Requests take turns over the targets.
    std::vector<std::string> targets;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::size_t connections = 1;
    std::chrono::milliseconds duration{1000};
};

/// Runs the load; gives requests, errors, requests a second, and latencies in
/// microseconds.
Json::Value run_load(const load_options& options);

/// Opens \p count connections, uses each once, and holds them until standard input
/// ends. Prints one line once all are open.
void hold_idle(const load_options& options, std::size_t count);

} // namespace papayabench

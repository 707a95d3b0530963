/// \file gap.hpp
/// A steady writer for each database, and the longest gap between its acknowledgements.

#pragma once

#include "client.hpp"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

namespace papayabridge {

/// One run of the gap mode. All on one thread.
class gap_runner
{
public:
    gap_runner(net::io_context& context, const experiment& settings);

    /// Writes for as long as was set, and waits for the last answers.
    net::awaitable<Json::Value> run();

private:
    struct writer
    {
        database_name database;
        time_point last_acknowledged;
        std::chrono::microseconds longest_gap{0};
        /// When the longest gap began, by the wall clock, in milliseconds.
        std::int64_t gap_began_ms = 0;
        std::uint64_t sent = 0;
        std::uint64_t acknowledged = 0;
        std::uint64_t unknown = 0;
        std::map<std::string, std::uint64_t> refused;
    };

    net::awaitable<void> write(std::size_t number, std::uint64_t count);
    void acknowledged(writer& by, time_point now);

    net::io_context& context_;
    const experiment& settings_;
    load_client client_;
    std::vector<writer> writers_;
    std::size_t in_progress_ = 0;
};

} // namespace papayabridge

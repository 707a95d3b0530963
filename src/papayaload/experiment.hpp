/// \file experiment.hpp
/// What one run of papayaload does, read from a JSON file with comments.

#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <papayabridge/ids.hpp>
#include <papayabridge/links.hpp>
#include <papayabridge/rank.hpp>
#include <papayabridge/settings.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// One kind of read in a stream.
struct read_mix
{
    /// Read kind as configured at the service; may be empty if an age is given.
    std::string kind;
    std::optional<std::chrono::milliseconds> max_age;
    unsigned weight = 1;
};

/// Arrivals of one rank.
struct load_stream
{
    papayabridge::rank rank = rank::normal;
    unsigned callers = 1;
    unsigned per_second = 1;
    unsigned writes_percent = 0;
    /// How long a statement holds a slot.
    std::chrono::milliseconds statement{20};
    std::chrono::milliseconds target{1000};
    std::chrono::milliseconds deadline{5000};
    std::vector<read_mix> reads;
};

/// One part of a run, with its own load.
struct load_phase
{
    std::string name;
    std::chrono::milliseconds length{0};
    /// Arrivals of each rank, in percent of its streams' rates.
    by_rank<unsigned> load_percent;
};

/// Writes of the gap mode.
struct gap_settings
{
    std::chrono::milliseconds interval{10};
    std::chrono::milliseconds length{10000};
    std::chrono::milliseconds deadline{5000};
};

/// Everything about one run.
struct experiment
{
    std::vector<tcp::endpoint> entries;
    service_name service;
    std::vector<database_name> databases;
    std::uint64_t seed = 1;
    /// Keys written and read, for each database.
    std::uint64_t keys = 1000;
    /// Requests in progress; what arrives beyond is counted as not sent.
    std::uint64_t most_in_progress = 8000;
    /// Whether all that was written is read back at the end.
    bool verify = true;
    std::vector<load_stream> streams;
    std::vector<load_phase> phases;
    gap_settings gap;
    std::shared_ptr<link_table> links;
};

/// Reads the file's root object; problems are reported to the document.
experiment read_experiment(settings_section& section);

} // namespace papayabridge

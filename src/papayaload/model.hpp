/// \file model.hpp
/// Compares the admission strategies in simulated time.

#pragma once

#include <json/value.h>
#include <papayabridge/admission_model.hpp>
#include <papayabridge/settings.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// A load to compare the strategies under.
struct model_phase
{
    std::string name;
    /// Load of each rank in percent of the member's slots.
    by_rank<unsigned> load_percent;
};

/// All runs of one comparison: each strategy, phase, number of slots and seed.
struct model_settings
{
    std::vector<std::string> strategies{"fifo", "strict", "shares"};
    std::vector<unsigned> slots;
    unsigned seeds = 5;
    std::chrono::milliseconds warmup{10000};
    std::chrono::milliseconds length{60000};
    by_rank<admission_rank_limits> ranks;
    /// The rate comes from the phase.
    by_rank<model_stream> streams;
    unsigned callers = 5;
    std::vector<model_phase> phases;
};

/// Reads the file's root object; problems are reported to the document.
model_settings read_model(settings_section& section);
/// Runs all; one row for each run.
Json::Value run_models(const model_settings& settings);

} // namespace papayabridge

// The log of this process: a log_pipeline whose batches easylogging++ writes to standard
// output.

#include "log_pipeline.hpp"

#include <papayabridge/settings.hpp>

#include <atomic>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace papayabridge {

namespace {

constexpr number_range lines_per_second_range{0, 100'000};

std::atomic<log_pipeline*>& process_pipeline()
{
    static std::atomic<log_pipeline*> pipeline{nullptr};
    return pipeline;
}

void write_with_easylogging(const std::string& text)
{
    LOG(INFO) << text;
}

} // namespace

log_rates read_log_rates(settings_section& root)
{
    auto section = root.section("log");
    auto read_rate = [&section](const char* name, unsigned default_rate) {
        return static_cast<unsigned>(
            section.number(name, lines_per_second_range, default_rate));
    };
    log_rates rates;
    rates.changes = read_rate("changes_a_second", rates.changes);
    rates.failures = read_rate("failures_a_second", rates.failures);
    rates.troubles = read_rate("troubles_a_second", rates.troubles);
    rates.ordinary = read_rate("ordinary_a_second", rates.ordinary);
    section.report_unknown_members();
    return rates;
}

void start_log(const std::string& process, log_rates rates)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    set_log_pipeline(&log_pipeline::start(
        {.process = process, .rates = rates, .sink = write_with_easylogging}));
}

void set_log_pipeline(log_pipeline* log)
{
    process_pipeline() = log;
}

void log_line(log_event event, log_fields fields)
{
    if (auto* log = process_pipeline().load(); log != nullptr) {
        log->write(event, fields);
    }
}

void flush_log(std::chrono::milliseconds patience)
{
    if (auto* log = process_pipeline().load(); log != nullptr) {
        log->flush(patience);
    }
}

} // namespace papayabridge

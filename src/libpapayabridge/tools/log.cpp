// The log of this process: easylogging++ writes what the pipeline brings.

#include "log_pipeline.hpp"

#include <papayabridge/settings.hpp>

#include <atomic>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace papayabridge {

namespace {

constexpr number_range lines_a_second{0, 100'000};

std::atomic<log_pipeline*>& process_log()
{
    static std::atomic<log_pipeline*> one{nullptr};
    return one;
}

void write_with_easylogging(const std::string& text)
{
    LOG(INFO) << text;
}

} // namespace

log_rates read_log_rates(settings_section& root)
{
    auto section = root.section("log");
    auto read = [&section](const char* name, unsigned usual) {
        return static_cast<unsigned>(section.number(name, lines_a_second, usual));
    };
    log_rates rates;
    rates.changes = read("changes_a_second", rates.changes);
    rates.failures = read("failures_a_second", rates.failures);
    rates.troubles = read("troubles_a_second", rates.troubles);
    rates.ordinary = read("ordinary_a_second", rates.ordinary);
    section.report_unknown_members();
    return rates;
}

void start_log(const std::string& process, log_rates rates)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    el::Loggers::reconfigureAllLoggers(settings);
    set_log_pipeline(&log_pipeline::start(
        {.process = process, .rates = rates, .sink = write_with_easylogging}));
}

void set_log_pipeline(log_pipeline* log)
{
    process_log() = log;
}

void log_line(log_event event, log_fields fields)
{
    if (auto* log = process_log().load(); log != nullptr) {
        log->write(event, fields);
    }
}

void flush_log(std::chrono::milliseconds patience)
{
    if (auto* log = process_log().load(); log != nullptr) {
        log->flush(patience);
    }
}

} // namespace papayabridge

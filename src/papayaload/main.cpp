/// \file main.cpp
/// papayaload: open-loop load, failover gaps, and a model of admission.

#include "gap.hpp"
#include "model.hpp"
#include "runner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <fstream>
#include <iostream>
#include <papayabridge/daemon.hpp>
#include <papayabridge/json.hpp>
#include <tclap/CmdLine.h>

namespace papayabridge {

namespace {

struct load_options
{
    daemon_options daemon;
    std::string output;
    bool gap = false;
    bool model = false;
};

load_options parse_options(int argc, char** argv)
{
    load_options options;
    try {
        TCLAP::CmdLine line("Load and experiments for papayabridge", ' ',
                            PAPAYABRIDGE_VERSION);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> settings("s", "settings",
                                              "experiment file: JSON with comments", true,
                                              "", "FILE", line);
        TCLAP::ValueArg<std::string> output(
            "o", "output", "where the results go; standard output if absent", false, "",
            "FILE", line);
        TCLAP::SwitchArg check("c", "check-config", "check the file and exit", line);
        TCLAP::SwitchArg gap("g", "gap",
                             "write steadily and report the longest gap between "
                             "acknowledged writes",
                             line);
        TCLAP::SwitchArg model(
            "m", "model", "compare the admission strategies in simulated time", line);
        line.parse(argc, argv);
        options.daemon.settings_file = settings.getValue();
        options.daemon.check_config = check.getValue();
        options.output = output.getValue();
        options.gap = gap.getValue();
        options.model = model.getValue();
    } catch (const TCLAP::ExitException& ended) {
        std::exit(ended.getExitStatus());
    } catch (const TCLAP::ArgException& wrong) {
        std::cerr << argv[0] << ": " << wrong.error() << " " << wrong.argId()
                  << "; see --help\n";
        std::exit(static_cast<int>(exit_code::usage));
    }
    return options;
}

/// Runs \p Runner to its end on this thread.
template <class Runner>
Json::Value run_load(const experiment& settings)
{
    net::io_context context(1);
    Runner runner(context, settings);
    Json::Value results;
    net::co_spawn(context, runner.run(), [&](std::exception_ptr failed, Json::Value got) {
        if (failed) {
            std::rethrow_exception(failed);
        }
        results = std::move(got);
        context.stop();
    });
    context.run();
    return results;
}

exit_code write_results(const Json::Value& results, const std::string& file)
{
    if (file.empty()) {
        std::cout << to_json(results) << "\n";
        return exit_code::success;
    }
    std::ofstream out(file);
    out << to_json(results) << "\n";
    out.close();
    if (!out) {
        std::cerr << "cannot write " << file << "\n";
        return exit_code::cannot_start;
    }
    return exit_code::success;
}

Json::Value run(const load_options& options)
{
    auto document = settings_document::open(options.daemon.settings_file);
    settings_section section(document);
    if (options.model) {
        const auto settings = read_model(section);
        validate_settings_or_exit(options.daemon, document);
        return run_models(settings);
    }
    const auto settings = read_experiment(section);
    validate_settings_or_exit(options.daemon, document);
    return options.gap ? run_load<gap_runner>(settings) : run_load<load_runner>(settings);
}

} // namespace

} // namespace papayabridge

int main(int argc, char** argv)
{
    const auto options = papayabridge::parse_options(argc, argv);
    const auto results = papayabridge::run(options);
    return static_cast<int>(papayabridge::write_results(results, options.output));
}

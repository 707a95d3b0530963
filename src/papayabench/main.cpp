// papayabench: measures speed and slopes; scripts/bench-speed and scripts/bench-capacity
// run it.

#include "load.hpp"
#include "slopes.hpp"

#include <iostream>
#include <papayabridge/daemon.hpp>
#include <papayabridge/json.hpp>
#include <papayabridge/settings.hpp>
#include <sys/resource.h>
#include <tclap/CmdLine.h>

namespace {

using namespace papayabench;

void allow_descriptors()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

int print_slopes()
{
    Json::Value rows(Json::arrayValue);
    for (auto* measure :
         {measure_idle_connections, measure_watchers, measure_databases, measure_entries,
          measure_configuration, measure_log_length, measure_tokens})
    {
        measure(rows);
    }
    std::cout << papayabridge::to_json(rows) << "\n";
    return 0;
}

// "Name: value" in its parts.
std::pair<std::string, std::string> header_of(const std::string& text)
{
    auto colon = text.find(": ");
    return {text.substr(0, colon),
            colon == std::string::npos ? "" : text.substr(colon + 2)};
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures speed and slopes", ' ', PAPAYABRIDGE_VERSION);
    TCLAP::UnlabeledValueArg<std::string> mode("mode", "load, idle or slopes", true, "",
                                               "MODE", line);
    TCLAP::ValueArg<std::string> at("", "at", "where to send", false, "", "ADDRESS:PORT",
                                    line);
    TCLAP::MultiArg<std::string> targets("", "target", "path of the request", false,
                                         "PATH", line);
    TCLAP::ValueArg<std::string> body("", "body", "body of the request", false, "",
                                      "JSON", line);
    TCLAP::MultiArg<std::string> headers("", "header", "header of the request", false,
                                         "NAME: VALUE", line);
    TCLAP::ValueArg<std::size_t> connections("", "connections", "how many", false, 1, "N",
                                             line);
    TCLAP::ValueArg<unsigned> milliseconds("", "ms", "how long", false, 1000, "N", line);
    line.parse(argc, argv);
    allow_descriptors();
    if (mode.getValue() == "slopes") {
        return print_slopes();
    }
    auto remote = papayabridge::parse_endpoint(at.getValue());
    if (!remote || targets.getValue().empty()) {
        std::cerr << "papayabench: --at ADDRESS:PORT and --target are needed\n";
        return static_cast<int>(papayabridge::exit_code::usage);
    }
    load_options options;
    options.remote = *remote;
    options.targets = targets.getValue();
    options.body = body.getValue();
    for (const auto& text : headers.getValue()) {
        options.headers.push_back(header_of(text));
    }
    options.connections = connections.getValue();
    options.duration = std::chrono::milliseconds(milliseconds.getValue());
    if (mode.getValue() == "idle") {
        hold_idle(options, options.connections);
        return 0;
    }
    std::cout << papayabridge::to_json(run_load(options)) << "\n";
    return 0;
}

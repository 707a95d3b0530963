// timeline and explain: the events of all processes, asked for or read from log files.

#include "command_line.hpp"
#include "core/observability/log_story.hpp"

#include <fstream>

namespace papayabridge {

namespace {

// A change of primary or of a configuration shows within it.
constexpr std::uint64_t changes_within_ms = 2000;

report listed(const gathered_events& gathered)
{
    report found;
    found.machine["events"] = Json::Value(Json::arrayValue);
    for (const auto& event : gathered.events) {
        found.machine["events"].append(event);
        found.text += event_line(event) + "\n";
    }
    for (const auto& process : gathered.unreachable) {
        found.text += "no events from " + process + "\n";
    }
    found.machine["unreachable"] = to_value(gathered.unreachable);
    return found;
}

net::awaitable<report> list_events(fleet& processes, std::uint64_t since,
                                   std::string request)
{
    auto gathered = co_await processes.events(since, std::move(request));
    co_return listed(gathered);
}

net::awaitable<report> explain_request(fleet& processes, std::string request)
{
    auto gathered = co_await processes.events(0, request);
    auto found = listed(gathered);
    auto sentence = papayabridge::explain(request, gathered.events);
    found.text += sentence + "\n";
    found.machine["sentence"] = sentence;
    found.machine["request"] = request;
    if (gathered.events.empty()) {
        found.code = exit_code::check_failed;
    }
    co_return found;
}

result<log_lines> read_logs(const std::vector<std::string>& files)
{
    log_lines all;
    for (const auto& file : files) {
        std::ifstream in(file);
        if (!in) {
            return fail(error_kind::not_found, file + ": cannot be read");
        }
        read_log(in, all);
    }
    put_in_order(all);
    return all;
}

void append(report& found, const char* list, const std::vector<Json::Value>& lines)
{
    found.machine[list] = Json::Value(Json::arrayValue);
    for (const auto& line : lines) {
        found.machine[list].append(line);
        found.text += log_line_text(line) + "\n";
    }
}

report timeline_of_logs(const log_lines& all, std::uint64_t since,
                        const std::string& request)
{
    std::vector<Json::Value> chosen;
    std::copy_if(all.lines.begin(), all.lines.end(), std::back_inserter(chosen),
                 [&](const Json::Value& line) {
                     return line["stamp"].asUInt64() > since &&
                            (request.empty() ||
                             line.get("request", "").asString() == request);
                 });
    report found;
    append(found, "events", chosen);
    found.machine["unreadable"] = Json::UInt64(all.unreadable);
    if (all.unreadable != 0) {
        found.text += std::to_string(all.unreadable) + " lines are no log lines\n";
    }
    return found;
}

report explain_from_logs(const log_lines& all, const std::string& request,
                         std::uint64_t within_ms)
{
    auto story = story_of(all, request, within_ms);
    report found;
    found.machine["request"] = request;
    if (story.own.empty()) {
        found =
            failed("Request " + request +
                   " has no line in these files: it was served in time and is not in "
                   "the sample, its line was held back, or its entry's file is missing.");
    }
    found.text += story.own.empty() ? "" : "Request " + request + ":\n";
    append(found, "own", story.own);
    found.text += story.around.empty() ? "" : "What changed around it:\n";
    append(found, "around", story.around);
    return found;
}

// Runs \p what on the lines of the files, and prints what it found.
template <class What>
exit_code on_logs(command_line& line, const common_options& options, const What& what)
{
    auto all = read_logs(line.logs());
    return print(all ? what(all.value()) : failed(all.error().detail), options.json);
}

} // namespace

exit_code operator_tool::timeline()
{
    command_line line("Lists the events of all processes, in the order of their stamps.");
    line.asks_fleet_or_logs();
    number_argument since(
        "", "since", "events after this stamp, the second column of a line", line.line());
    TCLAP::ValueArg<std::string> request("r", "request", "events of this request only",
                                         false, "", "ID", line.line());
    auto options = line.parse(argc_, argv_);
    if (!line.logs().empty()) {
        return on_logs(line, options, [&](const log_lines& all) {
            return timeline_of_logs(all, since.value(), request.getValue());
        });
    }
    return run(options, [&](fleet& processes) {
        return list_events(processes, since.value(), request.getValue());
    });
}

exit_code operator_tool::explain()
{
    command_line line("Tells what happened to one request.");
    line.asks_fleet_or_logs();
    TCLAP::UnlabeledValueArg<std::string> request("request", "id of the request", true,
                                                  "", "REQUEST", line.line());
    number_argument within(
        "", "within",
        "with --log: changes up to so many ms before and after; default 2000",
        line.line());
    auto options = line.parse(argc_, argv_);
    if (!line.logs().empty()) {
        return on_logs(line, options, [&](const log_lines& all) {
            auto ms = within.is_set() ? within.value() : changes_within_ms;
            return explain_from_logs(all, request.getValue(), ms);
        });
    }
    return run(options, [&request](fleet& processes) {
        return explain_request(processes, request.getValue());
    });
}

} // namespace papayabridge

// show, status and drain: the fleet's state.

#include "command_line.hpp"
#include "state_report.hpp"

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds look_again{200};

net::awaitable<report> show_once(fleet& processes)
{
    auto seen = co_await processes.view();
    co_return configuration_report(seen);
}

net::awaitable<report> wait_in_force(fleet& processes, std::chrono::seconds wait)
{
    auto deadline = steady_clock::now() + wait;
    auto seen = co_await processes.view();
    while (!is_in_force(seen) && steady_clock::now() < deadline) {
        co_await processes.pause(look_again);
        seen = co_await processes.view();
    }
    auto found = configuration_report(seen);
    if (!is_in_force(seen)) {
        found.code = exit_code::check_failed;
        found.text +=
            "not in force everywhere after " + std::to_string(wait.count()) + " s\n";
    }
    co_return found;
}

net::awaitable<report> show_status(fleet& processes)
{
    auto seen = co_await processes.view();
    co_return status_report(seen);
}

net::awaitable<report> drain_entry(fleet& processes, entry_id id)
{
    auto seen = co_await processes.keepers_and_state();
    if (!seen.state) {
        co_return failed("no keeper gave the control state, so the address of entry " +
                         id.str() + " is not known");
    }
    const auto* entry = seen.state->entry(id);
    if (entry == nullptr) {
        co_return failed("there is no entry " + id.str());
    }
    auto drained = co_await processes.drain(*entry);
    if (!drained) {
        co_return failed("entry " + id.str() + " at " + entry->rpc +
                         " did not take it: " + drained.error().str());
    }
    report found;
    found.text = "entry " + id.str() + " drains; it ends once nothing is in progress\n";
    found.machine["entry"] = id.str();
    co_return found;
}

} // namespace

exit_code operator_tool::show()
{
    command_line line("Shows the configuration, and where it is in force.");
    line.asks_fleet();
    number_argument wait("w", "wait-in-force",
                         "wait so many seconds, until it is in force at every entry that "
                         "is not down",
                         line.line());
    auto options = line.parse(argc_, argv_);
    if (!wait.is_set()) {
        return run(options, show_once);
    }
    return run(options, [&wait](fleet& processes) {
        return wait_in_force(processes, std::chrono::seconds(wait.value()));
    });
}

exit_code operator_tool::status()
{
    command_line line("Shows keepers, entries, databases and alarms.");
    line.asks_fleet();
    auto options = line.parse(argc_, argv_);
    return run(options, show_status);
}

exit_code operator_tool::drain()
{
    command_line line("Stops an entry gracefully: work in progress is finished first.");
    line.asks_fleet();
    TCLAP::UnlabeledValueArg<std::string> entry("entry", "id of the entry", true, "",
                                                "ENTRY", line.line());
    auto options = line.parse(argc_, argv_);
    return run(options, [&entry](fleet& processes) {
        return drain_entry(processes, entry_id(entry.getValue()));
    });
}

} // namespace papayabridge

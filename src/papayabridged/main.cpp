// papayabridged: an entry of the fleet.

#include "entry/entry_process.hpp"
#include "session/session_entry.hpp"
#include "tools/settings_watcher.hpp"

#include <iostream>
#include <platform/documents.hpp>
#include <platform/platform_settings.hpp>
#include <platform/ready_server.hpp>
#include <platform/text_wire.hpp>

namespace papayabridge {

namespace {

exit_code fail_start(const error& why)
{
    std::cerr << "papayabridged: " << why.detail << "\n";
    return exit_code::cannot_start;
}

// An entry that callers reach over HTTP.
exit_code run_http(const daemon_options& options, settings_document document)
{
    auto settings = read_entry_settings(document);
    validate_settings_or_exit(options, document);
    start_log(settings.id.str(), settings.log);
    daemon_runtime runtime(settings.traffic_threads);
    entry_process entry(runtime, settings);
    auto started = entry.start();
    if (!started) {
        return fail_start(started.error());
    }
    log_line(log_event::process_started, {{"at", to_string(settings.http)}});
    runtime.run([&entry] { entry.drain(); });
    return exit_code::success;
}

struct session_document
{
    session_settings entry;
    platform::entry_platform_settings platform;
};

session_document read_session_document(settings_document& document)
{
    settings_section root(document);
    session_document settings{
        .entry = read_session_settings(root),
        .platform = platform::read_entry_platform_settings(root.section("platform"))};
    if (!settings.entry.key_withdrawal) {
        settings.entry.key_withdrawal = settings.platform.key_withdrawal;
    }
    root.report_unknown_members();
    return settings;
}

// An entry of the platform: sessions on long connections.
exit_code run_sessions(const daemon_options& options, settings_document document)
{
    auto settings = read_session_document(document);
    validate_settings_or_exit(options, document);
    start_log(settings.entry.id.str(), settings.entry.log);
    daemon_runtime runtime(0);
    platform::text_caller_codec callers;
    platform::text_member_codec members;
    session_entry entry(runtime, settings.entry,
                        {.caller_protocol = callers,
                         .member_protocol = members,
                         .decode_configuration = platform::decode_configuration});
    platform::ready_server ready(runtime.control_context(),
                                 settings.platform.readiness_endpoint,
                                 [&entry] { return entry.is_ready(); });
    auto started = entry.start();
    if (started) {
        started = ready.start();
    }
    if (!started) {
        return fail_start(started.error());
    }
    log_line(log_event::process_started, {{"at", to_string(settings.entry.callers)}});
    settings_watcher watch(runtime.control_context().get_executor(),
                           options.settings_file, [&entry](settings_document& changed) {
                               auto settings = read_session_document(changed);
                               if (changed.problems().empty()) {
                                   entry.reload(settings.entry);
                               }
                           });
    watch.start();
    runtime.run([&entry] { entry.stop(); }, [&watch] { watch.reload(); });
    flush_log_and_exit(exit_code::success);
}

} // namespace

} // namespace papayabridge

int main(int argc, char** argv)
{
    using namespace papayabridge;
    auto options = parse_daemon_options(
        argc, argv, "papayabridged: takes callers' statements to the databases");
    auto document = settings_document::open(options.settings_file);
    bool on_platform = document.root().isMember("platform");
    return static_cast<int>(on_platform ? run_sessions(options, std::move(document))
                                        : run_http(options, std::move(document)));
}

// papayakeeper: one of the processes that replicate the control state.

#include "keeper_control.hpp"
#include "keeper_service.hpp"
#include "net/metrics_page.hpp"
#include "tools/settings_watcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>
#include <iostream>
#include <papayabridge/daemon.hpp>
#include <papayabridge/metrics.hpp>
#include <platform/control_server.hpp>
#include <platform/documents.hpp>
#include <platform/platform_settings.hpp>
#include <platform/promotion_client.hpp>
#include <platform/text_wire.hpp>

namespace papayabridge {

namespace {

constexpr std::size_t storage_threads = 1;

net::awaitable<void> stop(replicator& replicated, rpc_server& server,
                          daemon_runtime& runtime)
{
    log_line(log_event::process_stopping);
    co_await replicated.finish();
    server.stop();
    runtime.stop();
}

struct keeper_document
{
    keeper_settings keeper;
    std::optional<platform::keeper_platform_settings> platform;
};

keeper_document read_keeper_document(settings_document& document)
{
    settings_section root(document);
    keeper_document settings{.keeper = read_keeper_settings(root)};
    if (root.has("platform")) {
        settings.platform =
            platform::read_keeper_platform_settings(root.section("platform"));
    }
    root.report_unknown_members();
    return settings;
}

// What a keeper does on the platform besides keeping the state.
class platform_side
{
public:
    platform_side(daemon_runtime& runtime, const keeper_settings& settings,
                  const platform::keeper_platform_settings& places,
                  replicator& replicated, keeper_service& service)
        : promotions_(settings.links, places.promotion_endpoint), control_(replicated),
          duty_(runtime.control_context().get_executor(), replicated, members_,
                promotions_, platform::decode_configuration, settings.id.str()),
          server_(runtime.control_context(), places.control_endpoint, control_)
    {
        service.tell_troubles_to(duty_);
    }

    result<void> start()
    {
        duty_.start();
        return server_.start();
    }
    void stop()
    {
        duty_.stop();
        server_.stop();
    }

private:
    platform::text_member_codec members_;
    platform::promotion_client promotions_;
    keeper_control control_;
    promotion_controller duty_;
    platform::control_server server_;
};

void show_gauges(replicator& replicated)
{
    const auto& state = replicated.applied().state();
    auto& all = metrics::process();
    all.gauge_of("papaya_control_index").set(log_number(state.applied_index().value()));
    all.gauge_of("papaya_configuration_version")
        .set(log_number(state.pool().configuration().version.value()));
    all.gauge_of("papaya_keeper_leads").set(replicated.duties().is_leading() ? 1 : 0);
}

exit_code run(const daemon_options& options)
{
    auto document = settings_document::open(options.settings_file);
    auto read = read_keeper_document(document);
    const auto& settings = read.keeper;
    validate_settings_or_exit(options, document);

    start_log(settings.id.str(), settings.log);
    event_log events(settings.id.str());
    std::error_code failed;
    std::filesystem::create_directories(settings.data, failed);
    events.append_to_file(settings.data + "/events");
    daemon_runtime runtime(storage_threads);
    auto executor = runtime.control_context().get_executor();
    auto clients = std::make_shared<rpc_clients>(executor, settings.links,
                                                 token_codec(settings.fleet_key));
    auto storage = runtime.traffic_contexts().front()->get_executor();
    system_files files;
    replicator replicated(executor, storage, settings, clients, events, files);
    replicated.open();
    rpc_server server(executor, settings.rpc, token_codec(settings.fleet_key));
    keeper_service service(settings, replicated, events);
    service.add_to(server);
    std::optional<platform_side> on_platform;
    if (read.platform) {
        on_platform.emplace(runtime, settings, *read.platform, replicated, service);
    }
    auto started = server.start();
    std::unique_ptr<http_server> metrics_page;
    if (started && settings.metrics) {
        metrics_page = make_metrics_page(runtime.control_context(), *settings.metrics,
                                         [&replicated] { show_gauges(replicated); });
        started = metrics_page->start();
    }
    if (started && on_platform) {
        started = on_platform->start();
    }
    if (!started) {
        std::cerr << started.error().str() << "\n";
        return exit_code::cannot_start;
    }
    replicated.start();
    events.record({.kind = event_kind::process_started, .detail = settings.id.str()});
    log_line(log_event::process_started, {{"at", to_string(settings.rpc)}});
    settings_watcher watch(
        executor, options.settings_file, [&](settings_document& changed) {
            auto again = read_keeper_document(changed);
            if (changed.problems().empty()) {
                replicated.set_seeds(again.keeper.seeds);
                log_line(log_event::settings_reloaded,
                         {{"seeds", log_number(again.keeper.seeds.size())}});
            }
        });
    watch.start();
    runtime.run(
        [&] {
            if (on_platform) {
                on_platform->stop();
            }
            net::co_spawn(executor, stop(replicated, server, runtime), net::detached);
        },
        [&] { watch.reload(); });
    flush_log_and_exit(exit_code::success);
}

} // namespace

} // namespace papayabridge

int main(int argc, char** argv)
{
    auto options = papayabridge::parse_daemon_options(
        argc, argv, "One of the processes that replicate the control state.");
    return static_cast<int>(papayabridge::run(options));
}

// papayakeeper: a process of the group that replicates the control state.

#include "keeper_control.hpp"
#include "keeper_service.hpp"
#include "net/metrics_page.hpp"
#include "store/line_file.hpp"
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
    co_await replicated.shut_down();
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

// The platform-specific services of a keeper: the control API and promotions.
class platform_services
{
public:
    platform_services(daemon_runtime& runtime, const keeper_settings& settings,
                      const platform::keeper_platform_settings& platform_config,
                      replicator& replicated, keeper_service& service)
        : promotion_client_(settings.links, platform_config.promotion_endpoint),
          control_(replicated),
          promotion_controller_(runtime.control_context().get_executor(), replicated,
                                member_codec_, promotion_client_,
                                platform::decode_configuration, settings.id.str()),
          server_(runtime.control_context(), platform_config.control_endpoint, control_)
    {
        service.set_promotion_controller(promotion_controller_);
    }

    result<void> start()
    {
        promotion_controller_.start();
        return server_.start();
    }
    void stop()
    {
        promotion_controller_.stop();
        server_.stop();
    }

private:
    platform::text_member_codec member_codec_;
    platform::promotion_client promotion_client_;
    keeper_control control_;
    promotion_controller promotion_controller_;
    platform::control_server server_;
};

void update_gauges(replicator& replicated)
{
    const auto& state = replicated.applied().state();
    auto& registry = metrics::process();
    registry.gauge_of("papaya_control_index")
        .set(log_number(state.applied_index().value()));
    registry.gauge_of("papaya_configuration_version")
        .set(log_number(state.pool().configuration().version.value()));
    registry.gauge_of("papaya_keeper_leads")
        .set(replicated.duties().is_leading() ? 1 : 0);
    registry.gauge_of("papaya_keeper_is_current").set(replicated.is_current() ? 1 : 0);
}

exit_code run(const daemon_options& options)
{
    auto document = settings_document::open(options.settings_file);
    auto loaded = read_keeper_document(document);
    const auto& settings = loaded.keeper;
    validate_settings_or_exit(options, document);

    start_log(settings.id.str(), settings.log);
    event_log events(settings.id.str());
    std::error_code create_error;
    std::filesystem::create_directories(settings.data, create_error);
    posix_file_calls files;
    line_file event_file(files, {.path = settings.data + "/events"});
    events.set_sink([&event_file](std::string_view line) { event_file.append(line); });
    daemon_runtime runtime(storage_threads);
    auto executor = runtime.control_context().get_executor();
    auto clients = std::make_shared<rpc_clients>(executor, settings.links,
                                                 token_codec(settings.fleet_key));
    auto storage = runtime.traffic_contexts().front()->get_executor();
    replicator replicated(executor, storage, settings, clients, events, files);
    replicated.open();
    rpc_server server(executor, settings.rpc, token_codec(settings.fleet_key));
    keeper_service service(settings, replicated, events);
    service.register_methods(server);
    std::optional<platform_services> services;
    if (loaded.platform) {
        services.emplace(runtime, settings, *loaded.platform, replicated, service);
    }
    auto started = server.start();
    std::unique_ptr<http_server> metrics_page;
    if (started && settings.metrics) {
        metrics_page = make_metrics_page(runtime.control_context(), *settings.metrics,
                                         [&replicated] { update_gauges(replicated); });
        started = metrics_page->start();
    }
    if (started && services) {
        started = services->start();
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
            auto reloaded = read_keeper_document(changed);
            if (changed.problems().empty()) {
                replicated.set_seeds(reloaded.keeper.seeds);
                log_line(log_event::settings_reloaded,
                         {{"seeds", log_number(reloaded.keeper.seeds.size())}});
            }
        });
    watch.start();
    runtime.run(
        [&] {
            if (services) {
                services->stop();
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
        argc, argv, "A process of the group that replicates the control state.");
    return static_cast<int>(papayabridge::run(options));
}

#include "metrics_page.hpp"

#include <papayabridge/daemon.hpp>
#include <papayabridge/metrics.hpp>

namespace papayabridge {

namespace {

net::awaitable<void> serve(http_exchange& exchange)
{
    auto response = make_response(200, metrics::process().prometheus_text());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    auto replied = co_await exchange.reply(std::move(response));
    if (!replied) {
        log_line(log_event::answer_not_taken, {{"detail", replied.error().detail}});
    }
}

} // namespace

std::unique_ptr<http_server> make_metrics_page(net::io_context& context,
                                               const tcp::endpoint& listen,
                                               std::function<void()> refresh)
{
    http_server_options options{.listen = listen};
    auto answer = [refresh = std::move(refresh)](http_exchange& exchange) {
        refresh();
        return serve(exchange);
    };
    return std::make_unique<http_server>(context, std::vector<net::io_context*>{&context},
                                         options, std::move(answer));
}

} // namespace papayabridge

/// \file metrics_page.hpp
/// Serves the metrics of this process as text, whatever the path.

#pragma once

#include <papayabridge/http.hpp>

namespace papayabridge {

/// The server of the metrics page at \p listen, on \p context; start it. \p refresh sets
/// the gauges before each answer.
std::unique_ptr<http_server> make_metrics_page(net::io_context& context,
                                               const tcp::endpoint& listen,
                                               std::function<void()> refresh);

} // namespace papayabridge

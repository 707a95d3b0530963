/// \file slopes.hpp
/// Measurements in one process, each over several sizes.

#pragma once

#include <json/value.h>

namespace papayabench {

/// Replicated state by databases: apply, snapshot, memory.
void measure_databases(Json::Value& rows);
/// Replicated state by entries: loss of one entry, snapshot.
void measure_entries(Json::Value& rows);
/// One configuration change by the size of the configuration.
void measure_configuration(Json::Value& rows);
/// Replay of the keepers' log by its length.
void measure_log_length(Json::Value& rows);
/// Session tokens by databases touched.
void measure_tokens(Json::Value& rows);
/// Watch calls by watchers: processor time, bytes and memory of the server.
void measure_watchers(Json::Value& rows);
/// Idle caller connections of one HTTP server.
void measure_idle_connections(Json::Value& rows);

} // namespace papayabench

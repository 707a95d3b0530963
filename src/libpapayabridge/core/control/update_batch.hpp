/// \file update_batch.hpp
/// Decides when the watchers of a keeper hear of changes, and in which form. No I/O.
///
/// Load pattern: hundreds of entries watch a few keepers, and hundreds of entries and
/// members register at once, at the first start or when power returns. Told of each
/// change by itself, every watcher costs an update for each registration, so the cost of
/// a start grows with the square of the fleet. Once the links are full, watchers fall
/// behind, get whole snapshots instead, and fall further behind.

#pragma once

#include <chrono>
#include <papayabridge/control_state.hpp>

namespace papayabridge {

/// How soon watchers have to hear of \p change: at once, or with others up to this time
/// later.
std::chrono::milliseconds notice_delay(const command& change);

/// The least time between two updates of all watchers of a keeper that has this many.
std::chrono::milliseconds update_interval(std::size_t watchers);

/// How long a watcher waits after \p failures failed calls in a row before it asks the
/// next keeper. \p fraction, from 0 to 1, is drawn anew for each wait.
std::chrono::milliseconds watch_pause(unsigned failures, double fraction);

/// How often one of \p entries entries repeats its reports about primaries.
std::chrono::milliseconds report_interval(std::size_t entries);

/// Whether a watcher gets a snapshot of \p snapshot_bytes in place of \p commands that
/// are \p command_bytes long.
bool prefers_snapshot(std::size_t commands, std::size_t command_bytes,
                      std::size_t snapshot_bytes);

} // namespace papayabridge

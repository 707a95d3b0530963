/// \file view_file.hpp
/// Stores the last control state of an entry on disk, so that an entry that starts
/// without reaching a keeper can serve requests from it.

#pragma once

#include <papayabridge/control_state.hpp>
#include <papayabridge/error.hpp>
#include <string>

namespace papayabridge {

/// Reads the control state stored in \p folder. `not_found` if there is none,
/// `bad_request` if it is not valid.
result<control_state> load_view(const std::string& folder);

/// Replaces the control state stored in \p folder: writes and syncs a temporary file,
/// renames it and syncs the folder. `storage_failed` with the reason.
result<void> store_view(const std::string& folder, const control_state& state);

} // namespace papayabridge

/// \file state_report.hpp
/// The fleet's state as text and as JSON.

#pragma once

#include "operator_tool.hpp"

namespace papayabridge {

/// Keepers, entries, databases and alarms.
report status_report(const operator_view& seen);
/// The configuration, where it is in force and where not. The code says whether it is in
/// force at every entry that is not down.
report configuration_report(const operator_view& seen);
/// Whether each entry that is not down has the accepted configuration in force.
bool is_in_force(const operator_view& seen);

} // namespace papayabridge

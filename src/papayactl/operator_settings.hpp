/// \file operator_settings.hpp
/// Where the fleet's processes are, for the operator's command line.

#pragma once

#include <memory>
#include <papayabridge/links.hpp>
#include <papayabridge/settings.hpp>
#include <string>
#include <vector>

namespace papayabridge {

/// The settings file of papayactl.
struct operator_settings
{
    /// Nearest first.
    std::vector<tcp::endpoint> keepers;
    std::string fleet_key;
    std::shared_ptr<link_table> links;
};

/// Reads the settings; problems are left in \p document.
operator_settings read_operator_settings(settings_document& document);

} // namespace papayabridge

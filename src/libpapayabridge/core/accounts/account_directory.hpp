/// \file account_directory.hpp
/// Tells for which client account a caller's operation runs. No I/O.
///
/// Load pattern: keys are withdrawn while their callers hold open sessions, at entries
/// that may be suspended or cut off from the keepers at that time. The directory of
/// accounts is part of the configuration in force; where keys can be withdrawn, an entry
/// may act on its copy only while the copy is known to be recent.

#pragma once

#include <chrono>
#include <papayabridge/pooled_configuration.hpp>

namespace papayabridge {

/// How far an entry's copy of the directory may be relied on.
struct directory_validity
{
    /// How long ago the copy was known to hold every accepted change; empty if it never
    /// was. Counts the time for which the machine was suspended.
    std::optional<std::chrono::nanoseconds> age;
    /// Age up to which it may be used; empty if keys are not withdrawn.
    std::optional<std::chrono::nanoseconds> max_age;
};

/// The account for which a caller with \p key may use \p route. Empty if the route needs
/// none and the key is not known. Errors: `unauthorized` if no account has the key;
/// `overloaded` if the copy of the directory is too old to tell.
result<account_name> resolve_account(const pooled_configuration& configuration,
                                     const pooled_route& route,
                                     const access_key_digest& key,
                                     const directory_validity& validity);

} // namespace papayabridge

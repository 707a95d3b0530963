/// \file connection_choice.hpp
/// Chooses the connection to a member on which a statement of a client account runs. No
/// I/O.
///
/// Load pattern: a member's few connections serve many accounts, a few of them large. A
/// connection carries one account's statements, and a new one takes a slot of the member
/// for longer than most statements run. So connections stay with the accounts that use
/// them, and only one that has rested longest is given up for another account.

#pragma once

#include <optional>
#include <papayabridge/ids.hpp>
#include <vector>

namespace papayabridge {

/// An idle connection.
struct idle_connection
{
    account_name account;
    /// Whether it has the values of the session that asks.
    bool matches_session = false;
};

/// What to do for a statement that needs a connection.
struct connection_choice
{
    enum class action : std::uint8_t
    {
        use,     ///< Use the idle connection `index`.
        open,    ///< Open a connection.
        replace, ///< Close the idle connection `index` and open one in its place.
        wait,    ///< Wait until a connection is released.
    };

    action what = action::wait;
    std::size_t index = 0;
};

/// \p idle: the idle connections, the one used last at the end. \p account: to which the
/// connection must belong; nothing if any will do. \p can_open: whether the member may
/// get another connection.
connection_choice choose_connection(const std::vector<idle_connection>& idle,
                                    const std::optional<account_name>& account,
                                    bool can_open);

} // namespace papayabridge

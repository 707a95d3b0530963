#include "connection_choice.hpp"

namespace papayabridge {

// Among equals the one used last: its buffers are warm, and the others can reach the idle
// limit.
connection_choice choose_connection(const std::vector<idle_connection>& idle,
                                    const std::optional<account_name>& account,
                                    bool can_open)
{
    using enum connection_choice::action;
    std::optional<std::size_t> usable;
    for (std::size_t i = 0; i < idle.size(); ++i) {
        bool is_usable = !account || idle[i].account == *account;
        bool is_better =
            !usable || idle[i].matches_session || !idle[*usable].matches_session;
        if (is_usable && is_better) {
            usable = i;
        }
    }
    if (usable) {
        return {.what = use, .index = *usable};
    }
    if (can_open) {
        return {.what = open};
    }
    return idle.empty() ? connection_choice{.what = wait}
                        : connection_choice{.what = replace, .index = 0};
}

} // namespace papayabridge

#include "session_setup.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// Bounds the memory that one connection takes at a member and here.
constexpr std::size_t shapes_kept = 64;

// A value cannot be taken back one by one, only all together.
bool has_foreign_value(const connection_contents& held, const session_values& session)
{
    return std::any_of(held.values.begin(), held.values.end(), [&](const auto& one) {
        return session.values.count(one.first) == 0;
    });
}

} // namespace

bool session_values_match(const connection_contents& held, const session_values& session)
{
    return held.values == session.values;
}

connection_setup plan_connection_setup(const connection_contents& held,
                                       const session_values& session,
                                       const std::optional<prepared_shape>& needed)
{
    connection_setup setup;
    setup.resulting_contents = held;
    bool one_shape_more = needed && held.prepared.count(*needed) == 0;
    setup.reset = has_foreign_value(held, session) ||
                  (one_shape_more && held.prepared.size() >= shapes_kept);
    if (setup.reset) {
        setup.resulting_contents = connection_contents{};
    }
    for (const auto& [name, value] : session.values) {
        auto found = setup.resulting_contents.values.find(name);
        if (found == setup.resulting_contents.values.end() || found->second != value) {
            setup.values.emplace_back(name, value);
        }
    }
    setup.resulting_contents.values = session.values;
    if (needed) {
        auto& name = setup.resulting_contents.prepared[*needed];
        if (name.empty()) {
            name = "s" + std::to_string(++setup.resulting_contents.names_assigned);
            setup.prepare = needed;
        }
        setup.prepared_name = name;
    }
    return setup;
}

} // namespace papayabridge

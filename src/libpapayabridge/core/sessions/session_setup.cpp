#include "session_setup.hpp"

#include <algorithm>

namespace papayabridge {

namespace {

// Limits the memory that a connection uses at the member and in this process.
constexpr std::size_t max_prepared_shapes = 64;
// 64 shapes of ordinary size take a tenth of this. A single larger one is still prepared.
constexpr std::size_t max_shape_bytes = 256 * 1024;

// Values cannot be removed one by one, only all together by a reset.
bool has_foreign_value(const connection_contents& current, const session_values& session)
{
    return std::any_of(
        current.values.begin(), current.values.end(),
        [&](const auto& value) { return session.values.count(value.first) == 0; });
}

// Whether the connection has no place for another shape.
bool is_full(const connection_contents& current, const prepared_shape& shape)
{
    return current.prepared.size() >= max_prepared_shapes ||
           (!current.prepared.empty() &&
            current.shape_bytes + shape.shape.size() > max_shape_bytes);
}

} // namespace

bool session_values_match(const connection_contents& current,
                          const session_values& session)
{
    return current.values == session.values;
}

connection_setup plan_connection_setup(const connection_contents& current,
                                       const session_values& session,
                                       const std::optional<prepared_shape>& needed)
{
    connection_setup setup;
    setup.resulting_contents = current;
    bool adds_shape = needed && current.prepared.count(*needed) == 0;
    setup.reset =
        has_foreign_value(current, session) || (adds_shape && is_full(current, *needed));
    if (setup.reset) {
        setup.resulting_contents = connection_contents{};
    }
    setup.resulting_contents.value_bytes = 0;
    for (const auto& [name, value] : session.values) {
        setup.resulting_contents.value_bytes += name.size() + value.size();
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
            setup.resulting_contents.shape_bytes += needed->shape.size();
            setup.prepare = needed;
        }
        setup.prepared_name = name;
    }
    return setup;
}

} // namespace papayabridge

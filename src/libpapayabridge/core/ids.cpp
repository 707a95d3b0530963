#include <papayabridge/ids.hpp>

namespace papayabridge {

std::optional<std::uint64_t> parse_unsigned(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<database_key> parse_database_key(std::string_view text)
{
    auto slash = text.find('/');
    if (slash == std::string_view::npos ||
        text.find('/', slash + 1) != std::string_view::npos)
    {
        return std::nullopt;
    }
    database_key key{service_name(std::string(text.substr(0, slash))),
                     database_name(std::string(text.substr(slash + 1)))};
    if (key.service.empty() || key.database.empty()) {
        return std::nullopt;
    }
    return key;
}

std::string position::str() const
{
    return std::to_string(term.value()) + "." + std::to_string(index.value());
}

std::optional<position> parse_position(std::string_view text)
{
    auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    auto term_value = parse_unsigned(text.substr(0, dot));
    auto index_value = parse_unsigned(text.substr(dot + 1));
    if (!term_value || !index_value) {
        return std::nullopt;
    }
    return position{term(*term_value), log_index(*index_value)};
}

} // namespace papayabridge

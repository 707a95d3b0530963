/// \file rank.hpp
/// The three ranks (priorities) of requests.

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace papayabridge {

/// Ranks in order of urgency.
enum class rank
{
    urgent,
    normal,
    batch
};
inline constexpr std::size_t rank_count = 3;
inline constexpr std::array<rank, rank_count> all_ranks{rank::urgent, rank::normal,
                                                        rank::batch};

/// Returns "urgent", "normal" or "batch".
constexpr std::string_view to_string(rank value) noexcept
{
    constexpr std::array<std::string_view, rank_count> names{"urgent", "normal", "batch"};
    return names[static_cast<std::size_t>(value)];
}

/// Parses the name of a rank; nothing if \p name is unknown.
constexpr std::optional<rank> parse_rank(std::string_view name) noexcept
{
    for (auto value : all_ranks) {
        if (to_string(value) == name) {
            return value;
        }
    }
    return std::nullopt;
}

/// An array with one value for each rank.
template <class T>
class by_rank
{
public:
    T& operator[](rank value) { return values_[static_cast<std::size_t>(value)]; }
    const T& operator[](rank value) const
    {
        return values_[static_cast<std::size_t>(value)];
    }
    auto begin() { return values_.begin(); }
    auto end() { return values_.end(); }
    auto begin() const { return values_.begin(); }
    auto end() const { return values_.end(); }

private:
    std::array<T, rank_count> values_{};
};

} // namespace papayabridge

/// \file random.hpp
/// Draws that are the same with every standard library.

#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>

namespace papayabridge {

/// Uniform in [0, 1).
inline double draw_uniform(std::mt19937_64& random)
{
    constexpr unsigned unused_bits = 11;
    return static_cast<double>(random() >> unused_bits) * 0x1.0p-53;
}

/// Uniform in [0, \p limit).
inline std::uint64_t draw_below(std::mt19937_64& random, std::uint64_t limit)
{
    return random() % limit;
}

/// The time to the next arrival of a Poisson process.
inline std::chrono::nanoseconds draw_interval(std::mt19937_64& random, double per_second)
{
    constexpr double ns_per_second = 1e9;
    const auto seconds = -std::log1p(-draw_uniform(random)) / per_second;
    return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * ns_per_second));
}

} // namespace papayabridge

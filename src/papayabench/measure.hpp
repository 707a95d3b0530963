/// \file measure.hpp
/// Processor time, memory and the rows that a measurement gives.

#pragma once

#include <cstdint>
#include <json/value.h>
#include <string>

namespace papayabench {

/// Processor time of this process so far, in seconds.
double cpu_seconds();
/// Resident memory of this process, in bytes.
std::uint64_t resident_bytes();
/// Bytes in use on the heap.
std::uint64_t heap_bytes();

/// Processor time of one call of \p work in microseconds, from \p repeats calls.
template <class Work>
double cpu_us_each(std::size_t repeats, Work work)
{
    constexpr double us_per_second = 1e6;
    auto begun = cpu_seconds();
    for (std::size_t i = 0; i < repeats; ++i) {
        work(i);
    }
    return (cpu_seconds() - begun) * us_per_second / static_cast<double>(repeats);
}

/// One measured point: the value of \p what, in \p unit, at \p size.
struct sample
{
    std::string slope;
    std::string what;
    std::string unit;
    double size = 0;
    double value = 0;
};

/// Appends \p point to the list \p rows.
void add_sample(Json::Value& rows, const sample& point);

} // namespace papayabench

/// \file elapsed.hpp
/// Elapsed times for logs and timeouts.

#pragma once

#include <papayabridge/links.hpp>
#include <string>

namespace papayabridge {

/// "250 ms".
inline std::string to_ms_text(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

/// Time from \p then until now, in whole milliseconds.
inline std::chrono::milliseconds elapsed_since(time_point then)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() -
                                                                 then);
}

} // namespace papayabridge

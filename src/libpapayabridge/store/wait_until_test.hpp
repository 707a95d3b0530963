/// \file wait_until_test.hpp
/// For tests: waits for what another thread does.

#pragma once

#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <thread>

namespace papayabridge {

/// Waits until \p condition holds; fails the test after ten seconds.
inline void wait_until(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    EXPECT_TRUE(condition());
}

} // namespace papayabridge

#include "line_file.hpp"

#include "wait_until_test.hpp"

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <iterator>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

// Takes a few bytes of each write, and none while it is full or stalled.
class slow_files : public posix_file_calls
{
public:
    ssize_t write(int file, std::string_view bytes) override
    {
        ++attempts;
        while (is_stalled) {
            std::this_thread::sleep_for(1ms);
        }
        if (is_full) {
            errno = ENOSPC;
            return -1;
        }
        return posix_file_calls::write(file, bytes.substr(0, 3));
    }

    std::atomic<bool> is_full = false;
    std::atomic<bool> is_stalled = false;
    std::atomic<int> attempts = 0;
};

class line_file_test : public testing::Test
{
protected:
    line_file_test()
    {
        std::string name = testing::TempDir() + "line_file_XXXXXX";
        folder = ::mkdtemp(name.data());
        options.path = folder + "/lines";
        options.retry_interval = 1ms;
    }
    ~line_file_test() override { std::filesystem::remove_all(folder); }

    std::string content() const
    {
        std::ifstream stream(options.path);
        return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    }

    std::string folder;
    slow_files files;
    line_file_options options;
};

} // namespace

TEST_F(line_file_test, lines_are_appended_in_order)
{
    {
        line_file lines(files, options);
        lines.append("first");
        lines.append("second");
    }
    {
        line_file lines(files, options);
        lines.append("third");
    }
    EXPECT_EQ(content(), "first\nsecond\nthird\n");
}

TEST_F(line_file_test, a_full_disk_delays_lines_and_tears_none)
{
    line_file lines(files, options);
    lines.append("before");
    wait_until([&] { return content() == "before\n"; });
    files.is_full = true;
    lines.append("while the disk is full");
    int attempts = files.attempts;
    wait_until([&] { return files.attempts > attempts + 3; });
    files.is_full = false;
    lines.append("after");
    wait_until([&] { return content() == "before\nwhile the disk is full\nafter\n"; });
}

TEST_F(line_file_test, nobody_waits_for_a_stalled_disk_and_memory_is_bounded)
{
    options.max_pending_bytes = 100;
    line_file lines(files, options);
    files.is_stalled = true;
    lines.append("taken");
    wait_until([&] { return files.attempts > 0; });
    for (int line = 0; line < 1000; ++line) {
        lines.append("0123456789");
    }
    files.is_stalled = false;
    wait_until([&] { return content().size() == 6 + 9 * 11; });
}

} // namespace papayabridge

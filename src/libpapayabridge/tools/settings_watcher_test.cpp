#include "tools/settings_watcher.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/resource.h>

namespace papayabridge {

namespace {

using namespace std::chrono_literals;

// Takes all free descriptors of the process while it lives.
class no_descriptors
{
public:
    no_descriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        auto limit = before_;
        limit.rlim_cur = 0;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~no_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;

private:
    rlimit before_{};
};

class settings_watcher_test : public testing::Test
{
protected:
    settings_watcher_test()
    {
        std::string name = testing::TempDir() + "settings_watcher_XXXXXX";
        folder = ::mkdtemp(name.data());
        file = folder + "/settings.json";
        write(1);
    }
    ~settings_watcher_test() override { std::filesystem::remove_all(folder); }

    void write(int value) const
    {
        std::ofstream(file) << "{\"value\": " << value << "}\n// " << value;
    }

    settings_watcher::apply_function take_value()
    {
        return [this](settings_document& document) {
            applied.push_back(document.root()["value"].asInt());
        };
    }

    // Runs the watcher until `count` documents are applied, or for ten seconds.
    void run_until_applied(std::size_t count)
    {
        auto end = std::chrono::steady_clock::now() + 10s;
        while (applied.size() < count && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(10ms);
        }
        EXPECT_EQ(applied.size(), count);
    }

    std::string folder;
    std::string file;
    boost::asio::io_context context;
    std::vector<int> applied;
};

} // namespace

TEST_F(settings_watcher_test, a_changed_file_is_applied_once)
{
    settings_watcher watch(context.get_executor(), file, take_value());
    watch.start();
    write(20);
    run_until_applied(1);
    context.restart();
    context.run_for(1500ms);
    EXPECT_EQ(applied, std::vector<int>{20});
}

// With the former seeds a process might not find a keeper later.
TEST_F(settings_watcher_test, a_file_that_could_not_be_read_is_read_again)
{
    settings_watcher watch(context.get_executor(), file, take_value());
    watch.start();
    write(20);
    {
        no_descriptors none;
        watch.reload();
    }
    EXPECT_TRUE(applied.empty());
    run_until_applied(1);
    EXPECT_EQ(applied, std::vector<int>{20});
}

} // namespace papayabridge

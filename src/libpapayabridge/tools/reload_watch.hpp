/// \file reload_watch.hpp
/// Reads the settings file again when a signal asks for it or when it has changed.

#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <papayabridge/settings.hpp>
#include <string>

namespace papayabridge {

/// Single thread. A file with problems is logged and not taken over.
class settings_watcher
{
public:
    /// Takes over what it can of a document, and leaves problems in it.
    using taker = std::function<void(settings_document&)>;

    settings_watcher(const boost::asio::any_io_executor& executor, std::string file,
                     taker take);

    /// Begins to look at the file.
    void start();
    void reload();

private:
    /// What tells that a file was written again.
    struct file_mark
    {
        std::int64_t changed_ns = 0;
        std::uint64_t inode = 0;
        std::int64_t size = 0;
        friend bool operator==(const file_mark&, const file_mark&) = default;
    };

    file_mark mark() const;
    void look();

    boost::asio::steady_timer timer_;
    std::string file_;
    taker take_;
    file_mark seen_;
};

} // namespace papayabridge

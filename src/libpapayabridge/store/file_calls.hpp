/// \file file_calls.hpp
/// File operations of the keeper's log, behind an interface so that tests can make them
/// fail.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace papayabridge {

/// File operations with POSIX semantics: a negative result is a failure and sets errno.
class file_calls
{
public:
    virtual ~file_calls() = default;

    /// Opens \p path for reading and appending; creates a missing file if \p create is
    /// set.
    virtual int open(const std::string& path, bool create) = 0;
    virtual ssize_t read(int file, char* buffer, std::size_t count) = 0;
    /// May write only a part of \p bytes.
    virtual ssize_t write(int file, std::string_view bytes) = 0;
    virtual int truncate(int file, std::uint64_t size) = 0;
    virtual int sync(int file) = 0;
    /// Syncs the folder \p path, which makes creations and renames in it durable.
    virtual int sync_folder(const std::string& path) = 0;
    virtual int rename(const std::string& from, const std::string& to) = 0;
    virtual int close(int file) = 0;
};

/// Calls the operating system.
class posix_file_calls : public file_calls
{
public:
    int open(const std::string& path, bool create) override;
    ssize_t read(int file, char* buffer, std::size_t count) override;
    ssize_t write(int file, std::string_view bytes) override;
    int truncate(int file, std::uint64_t size) override;
    int sync(int file) override;
    int sync_folder(const std::string& path) override;
    int rename(const std::string& from, const std::string& to) override;
    int close(int file) override;
};

} // namespace papayabridge

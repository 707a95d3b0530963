#include "file_calls.hpp"

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace papayabridge {

namespace {

constexpr mode_t owner_read_write = 0600;

} // namespace

int posix_file_calls::open(const std::string& path, bool create)
{
    int flags = O_RDWR | O_APPEND | O_CLOEXEC | (create ? O_CREAT : 0);
    return ::open(path.c_str(), flags, owner_read_write);
}

ssize_t posix_file_calls::read(int file, char* buffer, std::size_t count)
{
    return ::read(file, buffer, count);
}

ssize_t posix_file_calls::write(int file, std::string_view bytes)
{
    return ::write(file, bytes.data(), bytes.size());
}

int posix_file_calls::truncate(int file, std::uint64_t size)
{
    return ::ftruncate(file, static_cast<off_t>(size));
}

int posix_file_calls::sync(int file)
{
    return ::fsync(file);
}

int posix_file_calls::sync_folder(const std::string& path)
{
    int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return folder;
    }
    int sync_result = ::fsync(folder);
    int close_result = ::close(folder);
    return sync_result < 0 ? sync_result : close_result;
}

int posix_file_calls::rename(const std::string& from, const std::string& to)
{
    return std::rename(from.c_str(), to.c_str());
}

int posix_file_calls::close(int file)
{
    return ::close(file);
}

} // namespace papayabridge

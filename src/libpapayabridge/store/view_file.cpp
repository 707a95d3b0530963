#include "view_file.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <papayabridge/json.hpp>
#include <sstream>
#include <unistd.h>

namespace papayabridge {

namespace {

constexpr json_options view_json_options{.max_depth = 64};
constexpr const char* view_file_name = "/view.json";

error storage_error(const std::string& operation, const std::string& path)
{
    return fail(error_kind::storage_failed,
                operation + " " + path + ": " + std::strerror(errno));
}

// Owns a file descriptor and closes it.
class file_descriptor
{
public:
    explicit file_descriptor(int fd) : fd_(fd) {}
    ~file_descriptor()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;
    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }

private:
    int fd_;
};

bool write_all(int file, std::string_view text)
{
    while (!text.empty()) {
        auto written = ::write(file, text.data(), text.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace

result<control_state> load_view(const std::string& folder)
{
    std::ifstream in(folder + view_file_name, std::ios::binary);
    if (!in) {
        return fail(error_kind::not_found, "no control state is stored");
    }
    std::ostringstream text;
    text << in.rdbuf();
    auto value = parse_json(text.str(), view_json_options);
    if (!value) {
        return value.error();
    }
    return control_state::from_snapshot(value.value());
}

result<void> store_view(const std::string& folder, const control_state& state)
{
    auto path = folder + view_file_name;
    auto temporary = path + ".new";
    file_descriptor file(
        ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file.is_open()) {
        return storage_error("open", temporary);
    }
    if (!write_all(file.fd(), to_json(state.snapshot())) || ::fsync(file.fd()) != 0) {
        return storage_error("write", temporary);
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        return storage_error("rename", temporary);
    }
    file_descriptor in(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!in.is_open() || ::fsync(in.fd()) != 0) {
        return storage_error("sync", folder);
    }
    return success();
}

} // namespace papayabridge

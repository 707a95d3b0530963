#include "journal.hpp"

#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <papayabridge/json.hpp>
#include <unistd.h>

namespace papayadb {

using namespace papayabridge;

Json::Value to_value(const log_entry& entry)
{
    Json::Value value;
    value["at"] = entry.at.str();
    value["request"] = entry.request.str();
    value["key"] = entry.key;
    value["digest"] = entry.digest;
    value["statements"] = Json::Value(Json::arrayValue);
    for (const auto& statement : entry.statements) {
        value["statements"].append(statement);
    }
    return value;
}

std::optional<log_entry> entry_of(const Json::Value& value)
{
    auto at = parse_position(text_of(value, "at"));
    if (!at || !value["statements"].isArray()) {
        return std::nullopt;
    }
    log_entry entry{.at = *at,
                    .request = request_id(text_of(value, "request")),
                    .key = text_of(value, "key"),
                    .digest = text_of(value, "digest")};
    for (const auto& statement : value["statements"]) {
        entry.statements.push_back(statement.asString());
    }
    return entry;
}

namespace {

// Applies one line read back.
bool restore(const std::string& line, member_state& state)
{
    auto parsed = parse_json(line);
    if (!parsed) {
        return false;
    }
    const auto& value = parsed.value();
    if (value.isMember("term")) {
        state.restore_term(term(number_of(value, "term")));
        return true;
    }
    if (value.isMember("truncate")) {
        state.truncate(log_index(number_of(value, "truncate")));
        return true;
    }
    auto entry = entry_of(value);
    return entry && state.append(std::move(*entry));
}

// Reads whole lines; returns how many bytes were good.
std::uint64_t read_back(const std::string& path, member_state& state)
{
    std::ifstream file(path);
    std::string line;
    std::uint64_t good = 0;
    while (std::getline(file, line)) {
        if (file.eof() || !restore(line, state)) {
            break;
        }
        good += line.size() + 1;
    }
    return good;
}

void sync_folder(const std::string& folder)
{
    int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle >= 0) {
        ::fsync(handle);
        ::close(handle);
    }
}

} // namespace

journal::~journal()
{
    if (file_ >= 0) {
        ::close(file_);
    }
}

result<void> journal::open(const std::string& folder, member_state& state)
{
    std::error_code failed;
    std::filesystem::create_directories(folder, failed);
    auto path = folder + "/member.log";
    auto good = read_back(path, state);
    file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file_ < 0 || ::ftruncate(file_, static_cast<off_t>(good)) != 0 ||
        ::fsync(file_) != 0) {
        return fail(error_kind::storage_failed, "cannot write " + path);
    }
    sync_folder(folder);
    return papayabridge::success();
}

void journal::accepted(term accepted)
{
    Json::Value line;
    line["term"] = Json::UInt64(accepted.value());
    write(line);
}

void journal::appended(const log_entry& entry)
{
    write(to_value(entry));
}

void journal::truncated(log_index index)
{
    Json::Value line;
    line["truncate"] = Json::UInt64(index.value());
    write(line);
}

void journal::write(const Json::Value& line)
{
    if (file_ < 0) {
        return;
    }
    auto text = to_json(line) + "\n";
    if (::write(file_, text.data(), text.size()) != static_cast<ssize_t>(text.size())) {
        std::abort();
    }
}

void journal::sync()
{
    if (file_ >= 0 && ::fdatasync(file_) != 0) {
        std::abort();
    }
}

} // namespace papayadb

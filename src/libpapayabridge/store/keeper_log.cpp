#include "keeper_log.hpp"

#include "core/consensus/consensus_codec.hpp"
#include "record.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <papayabridge/json.hpp>
#include <papayabridge/log.hpp>

namespace papayabridge {

namespace {

const std::string identity_name = "identity";
const std::string snapshot_name = "snapshot";
const std::string log_name = "log";
const std::string temporary_suffix = ".new";
constexpr std::size_t read_chunk_bytes = 64 * 1024;

// The first record of a log file names the snapshot that the log follows.
std::string encode_log_header(const log_snapshot& snapshot, const hard_state& hard)
{
    Json::Value value;
    value["after"] = header_to_value(snapshot);
    value["hard"] = to_value(hard);
    return encode_record(to_json(value));
}

std::string encode_batch(const log_batch& batch)
{
    Json::Value value;
    if (batch.hard) {
        value["hard"] = to_value(*batch.hard);
    }
    value["entries"] = to_value(batch.entries);
    return encode_record(to_json(value));
}

// An entry replaces all earlier ones with its index or a higher one.
void append_entry(std::vector<log_entry>& entries, log_entry entry)
{
    while (!entries.empty() && entries.back().index >= entry.index) {
        entries.pop_back();
    }
    entries.push_back(std::move(entry));
}

// The content of a log file after all its records are applied.
struct decoded_log
{
    log_snapshot base;
    hard_state hard;
    std::vector<log_entry> entries;
};

// Earlier versions took member announcements whose decoded text is not UTF-8, and wrote
// them as they were.
void repair_text(std::string& text, const std::string& folder, const std::string& name)
{
    if (!is_utf8(text)) {
        text = replace_invalid_utf8(text);
        log_line(log_event::log_text_repaired, {{"folder", folder}, {"detail", name}});
    }
}

result<void> apply_record(decoded_log& decoded, const std::string& text)
{
    auto value = parse_json(text);
    if (!value) {
        return value.error();
    }
    const auto& record = value.value();
    if (!record.isObject()) {
        return fail(error_kind::bad_request, "not a record of the log");
    }
    if (record.isMember("after")) {
        decoded.base = header_from(record["after"]);
    }
    if (record.isMember("hard")) {
        decoded.hard = hard_state_from(record["hard"]);
    }
    auto entries = log_entries_from(record["entries"]);
    if (!entries) {
        return entries.error();
    }
    for (auto& entry : entries.value()) {
        append_entry(decoded.entries, std::move(entry));
    }
    return success();
}

// A crash between writing the snapshot and replacing the log leaves the old log. Its
// entries after the snapshot are valid only if the log and the snapshot have the same
// term at the snapshot's index.
std::vector<log_entry> entries_after(const log_snapshot& snapshot, decoded_log decoded)
{
    bool matches =
        decoded.base.index == snapshot.index && decoded.base.term == snapshot.term;
    std::vector<log_entry> kept;
    for (auto& entry : decoded.entries) {
        matches =
            matches || (entry.index == snapshot.index && entry.term == snapshot.term);
        if (entry.index > snapshot.index && matches) {
            kept.push_back(std::move(entry));
        }
    }
    return kept;
}

} // namespace

keeper_log::keeper_log(file_calls& files, std::string folder)
    : files_(files), folder_(std::move(folder))
{
}

keeper_log::~keeper_log()
{
    if (log_file_ >= 0) {
        files_.close(log_file_);
    }
}

error keeper_log::file_error(const std::string& problem) const
{
    return fail(error_kind::storage_failed, folder_ + ": " + problem);
}

error keeper_log::mark_damaged(const std::string& problem)
{
    is_damaged_ = true;
    return file_error(problem);
}

result<std::optional<std::string>> keeper_log::read_file(const std::string& name)
{
    int file = files_.open(path(name), false);
    if (file < 0 && errno == ENOENT) {
        return std::optional<std::string>();
    }
    if (file < 0) {
        return file_error("cannot open " + name + ": " + std::strerror(errno));
    }
    std::string bytes;
    std::array<char, read_chunk_bytes> chunk{};
    auto count = files_.read(file, chunk.data(), chunk.size());
    while (count > 0) {
        bytes.append(chunk.data(), static_cast<std::size_t>(count));
        count = files_.read(file, chunk.data(), chunk.size());
    }
    int read_errno = errno;
    files_.close(file);
    if (count < 0) {
        return file_error("cannot read " + name + ": " + std::strerror(read_errno));
    }
    return std::optional<std::string>(std::move(bytes));
}

result<void> keeper_log::write_all(int file, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto count = files_.write(file, bytes);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return file_error(std::string("write failed: ") + std::strerror(errno));
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    if (files_.sync(file) < 0) {
        return file_error(std::string("sync failed: ") + std::strerror(errno));
    }
    return success();
}

result<void> keeper_log::replace_file(const std::string& name, std::string_view bytes)
{
    auto temporary = path(name + temporary_suffix);
    int file = files_.open(temporary, true);
    if (file < 0) {
        return file_error("cannot create " + name + ": " + std::strerror(errno));
    }
    if (files_.truncate(file, 0) < 0) {
        int truncate_errno = errno;
        files_.close(file);
        return file_error("cannot truncate " + name + ": " +
                          std::strerror(truncate_errno));
    }
    auto written = write_all(file, bytes);
    if (!written) {
        // Gives the space back to other writers; the next attempt starts anew anyway.
        static_cast<void>(files_.truncate(file, 0));
    }
    files_.close(file);
    if (!written) {
        return written;
    }
    if (files_.rename(temporary, path(name)) < 0 || files_.sync_folder(folder_) < 0) {
        return file_error("cannot rename " + name + ": " + std::strerror(errno));
    }
    return success();
}

result<std::string> keeper_log::read_record_file(const std::string& name, bool& exists)
{
    auto bytes = read_file(name);
    if (!bytes) {
        return bytes.error();
    }
    exists = bytes.value().has_value();
    if (!exists) {
        return std::string();
    }
    auto records = decode_records(*bytes.value());
    if (records.payloads.empty() || records.tail != record_tail::none) {
        return mark_damaged("the file " + name + " is damaged");
    }
    return *bytes.value();
}

result<keeper_incarnation>
keeper_log::load_or_create_identity(keeper_incarnation new_incarnation)
{
    bool exists = false;
    auto bytes = read_record_file(identity_name, exists);
    if (!bytes) {
        return bytes.error();
    }
    if (exists) {
        auto value = parse_json(decode_records(bytes.value()).payloads.front());
        if (!value) {
            return mark_damaged("the file " + identity_name + " is damaged");
        }
        return keeper_incarnation(number_of(value.value(), "incarnation"));
    }
    for (const auto& name : {snapshot_name, log_name}) {
        auto contents = read_file(name);
        if (!contents) {
            return contents.error();
        }
        if (contents.value()) {
            return mark_damaged("the file " + identity_name +
                                " is missing although other files exist");
        }
    }
    Json::Value value;
    value["incarnation"] = Json::UInt64(new_incarnation.value());
    auto written = replace_file(identity_name, encode_record(to_json(value)));
    if (!written) {
        return written.error();
    }
    return new_incarnation;
}

result<std::optional<log_snapshot>> keeper_log::read_snapshot()
{
    bool exists = false;
    auto bytes = read_record_file(snapshot_name, exists);
    if (!bytes) {
        return bytes.error();
    }
    if (!exists) {
        return std::optional<log_snapshot>();
    }
    auto records = decode_records(bytes.value());
    auto header = parse_json(records.payloads.front());
    if (!header || records.payloads.size() != 2) {
        return mark_damaged("the file " + snapshot_name + " is damaged");
    }
    auto snapshot = header_from(header.value());
    snapshot.state = std::move(records.payloads.back());
    repair_text(snapshot.state, folder_, snapshot_name);
    return std::optional<log_snapshot>(std::move(snapshot));
}

result<recovered_log> keeper_log::open(keeper_incarnation new_incarnation)
{
    recovered_log recovered;
    auto identity = load_or_create_identity(new_incarnation);
    if (!identity) {
        return identity.error();
    }
    recovered.incarnation = identity.value();
    auto snapshot = read_snapshot();
    if (!snapshot) {
        return snapshot.error();
    }
    if (!snapshot.value()) {
        return recovered;
    }
    recovered.state.emplace();
    recovered.state->snapshot = std::move(*snapshot.value());
    auto read = read_log(recovered);
    if (!read) {
        return read.error();
    }
    return recovered;
}

result<void> keeper_log::read_log(recovered_log& recovered)
{
    auto bytes = read_file(log_name);
    if (!bytes) {
        return bytes.error();
    }
    const auto& snapshot = recovered.state->snapshot;
    if (!bytes.value() && snapshot.index == control_index()) {
        // A crash after the initial snapshot was written but before its log was.
        auto header = encode_log_header(snapshot, last_hard_state_);
        auto created = replace_file(log_name, header);
        return created ? open_log_file(header.size(), false) : created;
    }
    auto records = decode_records(bytes.value().value_or(std::string()));
    if (records.tail == record_tail::damaged) {
        return mark_damaged("the log is damaged at byte " +
                            std::to_string(records.valid_bytes) +
                            ", before valid records");
    }
    decoded_log decoded;
    for (auto& text : records.payloads) {
        repair_text(text, folder_, log_name);
        auto applied = apply_record(decoded, text);
        if (!applied) {
            return mark_damaged("the log holds an invalid record: " +
                                applied.error().detail);
        }
    }
    if (records.payloads.empty() || decoded.base.index > snapshot.index) {
        return mark_damaged("the log does not continue the snapshot");
    }
    last_hard_state_ = decoded.hard;
    recovered.state->hard = decoded.hard;
    recovered.state->entries = entries_after(snapshot, std::move(decoded));
    recovered.tail_truncated = records.tail == record_tail::torn;
    return open_log_file(records.valid_bytes, recovered.tail_truncated);
}

result<void> keeper_log::open_log_file(std::uint64_t size, bool truncate_tail)
{
    if (log_file_ >= 0) {
        files_.close(log_file_);
    }
    log_file_ = files_.open(path(log_name), false);
    if (log_file_ < 0) {
        return file_error(std::string("cannot open the log: ") + std::strerror(errno));
    }
    if (truncate_tail &&
        (files_.truncate(log_file_, size) < 0 || files_.sync(log_file_) < 0)) {
        return file_error(std::string("cannot truncate the log: ") +
                          std::strerror(errno));
    }
    log_size_ = size;
    unfinished_ = unfinished_write::none;
    return success();
}

// What a failed write or sync left behind is removed, not synced again: after a failed
// sync the system may report unwritten pages as clean. All before it was synced earlier.
result<void> keeper_log::remove_unfinished_append()
{
    if (files_.truncate(log_file_, log_size_) < 0) {
        return file_error(std::string("cannot truncate the log: ") +
                          std::strerror(errno));
    }
    return success();
}

result<void> keeper_log::append(const log_batch& batch)
{
    if (is_damaged_ || log_file_ < 0 || unfinished_ == unfinished_write::snapshot) {
        return file_error("the log cannot be appended to before a snapshot is saved");
    }
    if (unfinished_ == unfinished_write::append) {
        auto removed = remove_unfinished_append();
        if (!removed) {
            return removed;
        }
    }
    auto bytes = encode_batch(batch);
    unfinished_ = unfinished_write::append;
    auto written = write_all(log_file_, bytes);
    if (!written) {
        return written;
    }
    unfinished_ = unfinished_write::none;
    log_size_ += bytes.size();
    if (batch.hard) {
        last_hard_state_ = *batch.hard;
    }
    return written;
}

result<void> keeper_log::save_snapshot(const log_snapshot& snapshot,
                                       const std::vector<log_entry>& entries)
{
    if (is_damaged_ || unfinished_ == unfinished_write::append) {
        return file_error("a snapshot cannot be saved before the log is appended to");
    }
    // Until all files are replaced, the open log file may no longer be the one in the
    // folder.
    unfinished_ = unfinished_write::snapshot;
    return replace_snapshot_and_log(snapshot, entries);
}

result<void> keeper_log::replace_snapshot_and_log(const log_snapshot& snapshot,
                                                  const std::vector<log_entry>& entries)
{
    auto bytes = encode_record(to_json(header_to_value(snapshot)));
    bytes += encode_record(snapshot.state);
    auto saved = replace_file(snapshot_name, bytes);
    if (!saved) {
        return saved;
    }
    auto log = encode_log_header(snapshot, last_hard_state_);
    if (!entries.empty()) {
        log += encode_batch({.entries = entries});
    }
    auto log_replaced = replace_file(log_name, log);
    if (!log_replaced) {
        return log_replaced;
    }
    return open_log_file(log.size(), false);
}

} // namespace papayabridge

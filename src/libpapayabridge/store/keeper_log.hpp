/// \file keeper_log.hpp
/// The files of a keeper: identity, snapshot and log, in one data folder.
///
/// Writing functions return only after the data is synced. After a failed write or sync
/// the content of the disk is unknown, so nothing more is written until the process is
/// restarted.

#pragma once

#include "core/consensus.hpp"
#include "file_calls.hpp"

namespace papayabridge {

/// State and entries that are written and synced as one record.
struct log_batch
{
    std::optional<hard_state> hard;
    std::vector<log_entry> entries;
};

/// What keeper_log::open() read from the files.
struct recovered_log
{
    keeper_incarnation incarnation;
    /// Nothing if this keeper does not know the initial voters yet.
    std::optional<recovered_state> state;
    /// Whether an incomplete record at the end of the log was truncated.
    bool tail_truncated = false;
};

/// The files of one keeper. Not thread-safe; calls block.
class keeper_log
{
public:
    keeper_log(file_calls& files, std::string folder);
    ~keeper_log();
    keeper_log(const keeper_log&) = delete;
    keeper_log& operator=(const keeper_log&) = delete;

    /// Reads all files. In an empty folder, \p new_incarnation is stored as the
    /// incarnation. Damage other than an incomplete record at the end of the log gives
    /// `storage_failed`.
    result<recovered_log> open(keeper_incarnation new_incarnation);
    result<void> append(const log_batch& batch);
    /// Writes \p snapshot and replaces the log by \p entries, which follow it.
    result<void> save_snapshot(const log_snapshot& snapshot,
                               const std::vector<log_entry>& entries);
    /// Whether any file operation failed or a file was damaged.
    bool failed() const noexcept { return failed_; }

private:
    result<std::optional<std::string>> read_file(const std::string& name);
    result<std::string> read_record_file(const std::string& name, bool& exists);
    result<void> replace_file(const std::string& name, std::string_view bytes);
    result<void> write_all(int file, std::string_view bytes);
    result<keeper_incarnation>
    load_or_create_identity(keeper_incarnation new_incarnation);
    result<std::optional<log_snapshot>> read_snapshot();
    result<void> read_log(recovered_log& recovered);
    result<void> open_log_file(std::uint64_t size, bool truncate_tail);
    /// Prevents all further writes and returns the error.
    error mark_failed(const std::string& problem);
    std::string path(const std::string& name) const { return folder_ + "/" + name; }

    file_calls& files_;
    std::string folder_;
    int log_file_ = -1;
    hard_state last_hard_state_;
    bool failed_ = false;
};

} // namespace papayabridge

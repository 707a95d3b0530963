/// \file keeper_log.hpp
/// The files of a keeper: identity, snapshot and log, in one data folder.
///
/// Writing functions return only after the data is synced. A write that fails may be
/// repeated until it succeeds, and only it: no other is accepted before. What was durable
/// before it stays so.

#pragma once

#include "core/consensus/consensus.hpp"
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
    /// incarnation. `storage_failed` if a file operation fails, which may be tried again,
    /// or if a file is damaged otherwise than by an incomplete record at the end of the
    /// log.
    result<recovered_log> open(keeper_incarnation new_incarnation);
    result<void> append(const log_batch& batch);
    /// Writes \p snapshot and replaces the log by \p entries, which follow it.
    result<void> save_snapshot(const log_snapshot& snapshot,
                               const std::vector<log_entry>& entries);
    /// Whether open() found a damaged file. Nothing is written then.
    bool is_damaged() const noexcept { return is_damaged_; }

private:
    enum class unfinished_write
    {
        none,
        append,
        snapshot
    };

    result<std::optional<std::string>> read_file(const std::string& name);
    result<std::string> read_record_file(const std::string& name, bool& exists);
    result<void> replace_file(const std::string& name, std::string_view bytes);
    result<void> write_all(int file, std::string_view bytes);
    result<void> remove_unfinished_append();
    result<void> replace_snapshot_and_log(const log_snapshot& snapshot,
                                          const std::vector<log_entry>& entries);
    result<keeper_incarnation>
    load_or_create_identity(keeper_incarnation new_incarnation);
    result<std::optional<log_snapshot>> read_snapshot();
    result<void> read_log(recovered_log& recovered);
    result<void> open_log_file(std::uint64_t size, bool truncate_tail);
    error file_error(const std::string& problem) const;
    /// Prevents all writes and returns the error.
    error mark_damaged(const std::string& problem);
    std::string path(const std::string& name) const { return folder_ + "/" + name; }

    file_calls& files_;
    std::string folder_;
    int log_file_ = -1;
    /// Length of the log file that is durable.
    std::uint64_t log_size_ = 0;
    hard_state last_hard_state_;
    unfinished_write unfinished_ = unfinished_write::none;
    bool is_damaged_ = false;
};

} // namespace papayabridge

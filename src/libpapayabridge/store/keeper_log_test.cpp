#include "keeper_log.hpp"

#include "record.hpp"

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <iterator>
#include <rapidcheck/gtest.h>

namespace papayabridge {

namespace {

using ::testing::_;
using ::testing::NiceMock;

// Forwards to the operating system unless a test sets a failure.
class file_calls_mock : public posix_file_calls
{
public:
    file_calls_mock()
    {
        ON_CALL(*this, write(_, _))
            .WillByDefault([this](int file, std::string_view bytes) {
                return posix_file_calls::write(file, bytes);
            });
        ON_CALL(*this, sync(_)).WillByDefault([this](int file) {
            return posix_file_calls::sync(file);
        });
        ON_CALL(*this, rename(_, _))
            .WillByDefault([this](const std::string& from, const std::string& to) {
                return posix_file_calls::rename(from, to);
            });
    }

    MOCK_METHOD(ssize_t, write, (int, std::string_view), (override));
    MOCK_METHOD(int, sync, (int), (override));
    MOCK_METHOD(int, rename, (const std::string&, const std::string&), (override));
};

// Operating system files of which one call, counted from 1, fails.
class files_failing_once : public posix_file_calls
{
public:
    explicit files_failing_once(std::uint64_t failing_call) : failing_call_(failing_call)
    {
    }
    bool has_failed() const noexcept { return calls_ >= failing_call_; }

    int open(const std::string& path, bool create) override
    {
        return fails() ? -1 : posix_file_calls::open(path, create);
    }
    ssize_t write(int file, std::string_view bytes) override
    {
        return fails() ? -1 : posix_file_calls::write(file, bytes);
    }
    int truncate(int file, std::uint64_t size) override
    {
        return fails() ? -1 : posix_file_calls::truncate(file, size);
    }
    int sync(int file) override { return fails() ? -1 : posix_file_calls::sync(file); }
    int sync_folder(const std::string& path) override
    {
        return fails() ? -1 : posix_file_calls::sync_folder(path);
    }
    int rename(const std::string& from, const std::string& to) override
    {
        return fails() ? -1 : posix_file_calls::rename(from, to);
    }

private:
    bool fails()
    {
        errno = EIO;
        return ++calls_ == failing_call_;
    }

    std::uint64_t failing_call_;
    std::uint64_t calls_ = 0;
};

auto fail_with(int error_number)
{
    return [error_number](auto&&...) {
        errno = error_number;
        return -1;
    };
}

class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name = ::testing::TempDir() + "keeper_log_XXXXXX";
        path_ = ::mkdtemp(name.data());
    }
    ~temporary_folder() { std::filesystem::remove_all(path_); }
    const std::string& path() const { return path_; }
    std::string file(const std::string& name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

constexpr keeper_incarnation first_incarnation(7);

log_entry entry_at(std::uint64_t index, std::uint64_t term,
                   const std::string& text = "{}")
{
    return {.index = control_index(index),
            .term = keeper_term(term),
            .body = command_text{text}};
}

log_snapshot initial_snapshot()
{
    return {.voters = {{keeper_id("a"), first_incarnation}}, .state = "{}"};
}

// Writes an initial snapshot and `count` entries, each synced separately.
void write_log(const std::string& folder, std::uint64_t count)
{
    posix_file_calls files;
    keeper_log log(files, folder);
    ASSERT_TRUE(log.open(first_incarnation));
    ASSERT_TRUE(log.save_snapshot(initial_snapshot(), {}));
    for (std::uint64_t i = 1; i <= count; ++i) {
        ASSERT_TRUE(log.append({.entries = {entry_at(i, 1)}}));
    }
}

result<recovered_log> reopen(const std::string& folder)
{
    posix_file_calls files;
    keeper_log log(files, folder);
    return log.open(keeper_incarnation(99));
}

// Reads a copy of the files, as a process that starts now would, and leaves them alone.
recovered_state reopen_copy(const temporary_folder& folder)
{
    temporary_folder copy;
    std::filesystem::copy(folder.path(), copy.path(),
                          std::filesystem::copy_options::recursive);
    auto opened = reopen(copy.path());
    EXPECT_TRUE(opened);
    return opened ? opened.value().state.value_or(recovered_state()) : recovered_state();
}

std::uint64_t last_index(const recovered_state& state)
{
    return state.entries.empty() ? state.snapshot.index.value()
                                 : state.entries.back().index.value();
}

std::string bytes_of(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

void change_byte(const std::string& file, std::streamoff at)
{
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(at);
    auto byte = static_cast<char>(stream.get());
    stream.seekp(at);
    stream.put(static_cast<char>(byte ^ 0x20));
}

} // namespace

TEST(keeper_log, open_empty_folder_stores_incarnation)
{
    temporary_folder folder;
    {
        posix_file_calls files;
        keeper_log log(files, folder.path());
        auto opened = log.open(first_incarnation);
        ASSERT_TRUE(opened);
        EXPECT_EQ(opened.value().incarnation, first_incarnation);
        EXPECT_FALSE(opened.value().state);
    }
    EXPECT_EQ(reopen(folder.path()).value().incarnation, first_incarnation);
}

TEST(keeper_log, appended_entries_are_read_back)
{
    temporary_folder folder;
    write_log(folder.path(), 3);
    {
        posix_file_calls files;
        keeper_log log(files, folder.path());
        ASSERT_TRUE(log.open(first_incarnation));
        hard_state hard{.term = keeper_term(4), .voted_for = keeper_id("b")};
        ASSERT_TRUE(log.append({.hard = hard, .entries = {entry_at(3, 2)}}));
    }
    auto state = reopen(folder.path()).value().state.value();
    EXPECT_EQ(state.hard.term, keeper_term(4));
    EXPECT_EQ(state.hard.voted_for, keeper_id("b"));
    ASSERT_EQ(state.entries.size(), 3U);
    EXPECT_EQ(state.entries.back(), entry_at(3, 2));
    EXPECT_EQ(state.snapshot.voters, initial_snapshot().voters);
}

TEST(keeper_log, torn_tail_of_any_length_is_truncated)
{
    temporary_folder folder;
    write_log(folder.path(), 2);
    auto whole = std::filesystem::file_size(folder.file("log"));
    auto record = encode_record("{\"entries\":[]}");
    for (std::size_t length = 1; length < record.size(); ++length) {
        std::filesystem::resize_file(folder.file("log"), whole);
        std::ofstream(folder.file("log"), std::ios::app | std::ios::binary)
            << record.substr(0, length);
        auto opened = reopen(folder.path());
        ASSERT_TRUE(opened) << length;
        EXPECT_TRUE(opened.value().tail_truncated);
        EXPECT_EQ(opened.value().state->entries.size(), 2U);
        EXPECT_EQ(std::filesystem::file_size(folder.file("log")), whole);
    }
}

TEST(keeper_log, damage_before_complete_record_is_refused)
{
    temporary_folder folder;
    write_log(folder.path(), 3);
    auto size =
        static_cast<std::streamoff>(std::filesystem::file_size(folder.file("log")));
    change_byte(folder.file("log"), size / 2);
    auto opened = reopen(folder.path());
    ASSERT_FALSE(opened);
    EXPECT_EQ(opened.error().kind, error_kind::storage_failed);
}

TEST(keeper_log, damaged_or_missing_file_is_refused)
{
    struct row
    {
        const char* name;
        bool removed;
    };
    for (const auto& [name, removed] :
         {row{"snapshot", false}, row{"identity", false}, row{"identity", true}})
    {
        temporary_folder folder;
        write_log(folder.path(), 1);
        if (removed) {
            std::filesystem::remove(folder.file(name));
        } else {
            change_byte(folder.file(name), 20);
        }
        auto opened = reopen(folder.path());
        ASSERT_FALSE(opened) << name;
        EXPECT_EQ(opened.error().kind, error_kind::storage_failed) << name;
    }
}

TEST(keeper_log, saved_snapshot_replaces_log)
{
    temporary_folder folder;
    write_log(folder.path(), 5);
    {
        posix_file_calls files;
        keeper_log log(files, folder.path());
        ASSERT_TRUE(log.open(first_incarnation));
        auto snapshot = initial_snapshot();
        snapshot.index = control_index(4);
        snapshot.term = keeper_term(1);
        snapshot.state = R"({"a":1})";
        ASSERT_TRUE(log.save_snapshot(snapshot, {entry_at(5, 1)}));
        ASSERT_TRUE(log.append({.entries = {entry_at(6, 1)}}));
    }
    auto state = reopen(folder.path()).value().state.value();
    EXPECT_EQ(state.snapshot.index, control_index(4));
    EXPECT_EQ(state.snapshot.state, R"({"a":1})");
    ASSERT_EQ(state.entries.size(), 2U);
    EXPECT_EQ(state.entries.front(), entry_at(5, 1));
}

TEST(keeper_log, crash_between_snapshot_and_log_keeps_matching_entries)
{
    struct row
    {
        std::uint64_t snapshot_term;
        std::size_t entries_kept;
    };
    for (const auto& [term, kept] : {row{1, 1}, row{2, 0}}) {
        temporary_folder folder;
        write_log(folder.path(), 5);
        {
            NiceMock<file_calls_mock> files;
            keeper_log log(files, folder.path());
            ASSERT_TRUE(log.open(first_incarnation));
            EXPECT_CALL(files, rename(_, folder.file("log"))).WillOnce(fail_with(EIO));
            EXPECT_CALL(files, rename(_, folder.file("snapshot")))
                .WillOnce([&files](const std::string& from, const std::string& to) {
                    return files.posix_file_calls::rename(from, to);
                });
            auto snapshot = initial_snapshot();
            snapshot.index = control_index(4);
            snapshot.term = keeper_term(term);
            EXPECT_FALSE(log.save_snapshot(snapshot, {}));
        }
        auto state = reopen(folder.path()).value().state.value();
        EXPECT_EQ(state.snapshot.index, control_index(4));
        EXPECT_EQ(state.entries.size(), kept);
    }
}

TEST(keeper_log, short_write_is_continued)
{
    temporary_folder folder;
    write_log(folder.path(), 1);
    {
        NiceMock<file_calls_mock> files;
        keeper_log log(files, folder.path());
        ASSERT_TRUE(log.open(first_incarnation));
        ON_CALL(files, write(_, _)).WillByDefault([&](int file, std::string_view bytes) {
            return files.posix_file_calls::write(file, bytes.substr(0, 5));
        });
        EXPECT_TRUE(log.append({.entries = {entry_at(2, 1)}}));
    }
    EXPECT_EQ(reopen(folder.path()).value().state->entries.size(), 2U);
}

TEST(keeper_log, only_the_failed_write_is_accepted_after_a_failure)
{
    struct row
    {
        bool sync_fails;
        int error_number;
    };
    for (const auto& [sync_fails, error_number] :
         {row{false, ENOSPC}, row{false, EIO}, row{true, EIO}, row{true, ENOSPC}})
    {
        temporary_folder folder;
        write_log(folder.path(), 1);
        NiceMock<file_calls_mock> files;
        keeper_log log(files, folder.path());
        ASSERT_TRUE(log.open(first_incarnation));
        if (sync_fails) {
            EXPECT_CALL(files, sync(_)).WillOnce(fail_with(error_number));
        } else {
            EXPECT_CALL(files, write(_, _)).WillOnce(fail_with(error_number));
        }
        log_batch batch{.entries = {entry_at(2, 1)}};
        auto appended = log.append(batch);
        ASSERT_FALSE(appended);
        EXPECT_EQ(appended.error().kind, error_kind::storage_failed);
        EXPECT_FALSE(log.save_snapshot(initial_snapshot(), {}));
        EXPECT_FALSE(log.is_damaged());
        testing::Mock::VerifyAndClearExpectations(&files);
        EXPECT_TRUE(log.append(batch));
        EXPECT_TRUE(log.append({.entries = {entry_at(3, 1)}}));
        EXPECT_EQ(reopen(folder.path()).value().state->entries.size(), 3U);
    }
}

// A disk that takes no more bytes takes a part of the record first.
TEST(keeper_log, an_append_that_failed_midway_is_repeated_without_a_trace)
{
    temporary_folder untroubled;
    write_log(untroubled.path(), 4);
    for (std::size_t taken = 0; taken < 40; ++taken) {
        temporary_folder folder;
        write_log(folder.path(), 2);
        NiceMock<file_calls_mock> files;
        keeper_log log(files, folder.path());
        ASSERT_TRUE(log.open(first_incarnation));
        std::size_t room = taken;
        ON_CALL(files, write(_, _)).WillByDefault([&](int file, std::string_view bytes) {
            if (room == 0) {
                errno = ENOSPC;
                return ssize_t(-1);
            }
            auto part = bytes.substr(0, room);
            room -= part.size();
            return files.posix_file_calls::write(file, part);
        });
        log_batch batch{.entries = {entry_at(3, 1)}};
        for (int attempt = 0; attempt < 3; ++attempt) {
            room = taken;
            ASSERT_FALSE(log.append(batch)) << taken;
            EXPECT_EQ(reopen_copy(folder).entries.size(), 2U) << taken;
        }
        room = 1'000'000;
        ASSERT_TRUE(log.append(batch)) << taken;
        ASSERT_TRUE(log.append({.entries = {entry_at(4, 1)}})) << taken;
        EXPECT_EQ(bytes_of(folder.file("log")), bytes_of(untroubled.file("log")));
    }
}

// Each file operation of an append and of two snapshots fails once; after each failure
// the process may also end there.
TEST(keeper_log, writes_that_are_repeated_after_any_failure_lose_nothing)
{
    auto snapshot = initial_snapshot();
    snapshot.index = control_index(3);
    snapshot.term = keeper_term(1);
    std::uint64_t failures = 0;
    bool failed_once = true;
    for (std::uint64_t failing_call = 1; failed_once; ++failing_call) {
        temporary_folder folder;
        write_log(folder.path(), 2);
        files_failing_once files(failing_call);
        keeper_log log(files, folder.path());
        auto opened = log.open(first_incarnation);
        for (int attempt = 0; !opened && attempt < 2; ++attempt) {
            opened = log.open(first_incarnation);
        }
        ASSERT_TRUE(opened) << failing_call;
        auto repeat = [&](const std::function<result<void>()>& write,
                          std::uint64_t durable) {
            auto written = write();
            if (!written) {
                EXPECT_GE(last_index(reopen_copy(folder)), durable) << failing_call;
                written = write();
            }
            EXPECT_TRUE(written) << failing_call;
        };
        repeat([&] { return log.append({.entries = {entry_at(3, 1)}}); }, 2);
        repeat([&] { return log.save_snapshot(snapshot, {}); }, 3);
        repeat([&] { return log.append({.entries = {entry_at(4, 1)}}); }, 3);
        repeat([&] { return log.save_snapshot(snapshot, {entry_at(4, 1)}); }, 4);
        repeat([&] { return log.append({.entries = {entry_at(5, 1)}}); }, 4);
        auto state = reopen(folder.path()).value().state.value();
        EXPECT_EQ(state.snapshot.index, control_index(3)) << failing_call;
        EXPECT_EQ(state.entries.size(), 2U) << failing_call;
        EXPECT_EQ(last_index(state), 5U) << failing_call;
        failed_once = files.has_failed();
        failures += failed_once ? 1 : 0;
    }
    EXPECT_GE(failures, 20U);
}

TEST(keeper_log, batch_needs_one_sync)
{
    temporary_folder folder;
    write_log(folder.path(), 1);
    NiceMock<file_calls_mock> files;
    keeper_log log(files, folder.path());
    ASSERT_TRUE(log.open(first_incarnation));
    EXPECT_CALL(files, sync(_)).Times(1);
    log_batch batch;
    for (std::uint64_t i = 2; i < 200; ++i) {
        batch.entries.push_back(entry_at(i, 1));
    }
    EXPECT_TRUE(log.append(batch));
}

RC_GTEST_PROP(record_property, truncation_or_bit_flip_is_detected,
              (const std::vector<std::string>& payloads))
{
    RC_PRE(!payloads.empty());
    std::string bytes;
    for (const auto& text : payloads) {
        bytes += encode_record(text);
    }
    RC_ASSERT(decode_records(bytes).payloads == payloads);
    auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    auto changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ 0x01);
    auto read = decode_records(changed);
    RC_ASSERT(read.tail != record_tail::none);
    RC_ASSERT(read.payloads.size() < payloads.size());
    auto cut = decode_records(std::string_view(bytes).substr(0, at));
    RC_ASSERT(cut.payloads.size() < payloads.size());
    RC_ASSERT(cut.tail != record_tail::damaged);
}

} // namespace papayabridge

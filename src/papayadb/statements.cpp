#include "statements.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <papayabridge/ids.hpp>

namespace papayadb {

namespace {

constexpr std::uint64_t longest_blob = 64ULL * 1024 * 1024;

// One statement in its parts: "put K V"; the value may hold spaces.
struct parts
{
    std::string verb;
    std::string key;
    std::string value;
};

std::string take_word(std::string_view& text)
{
    auto end = std::min(text.find(' '), text.size());
    std::string word(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

parts split(std::string_view text)
{
    parts split_parts;
    split_parts.verb = take_word(text);
    split_parts.key = take_word(text);
    split_parts.value = std::string(text);
    return split_parts;
}

std::int64_t number_in(std::string_view text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

class executor
{
public:
    explicit executor(const table& data) : data_(&data) {}

    bool run(const std::string& statement);
    execution take() { return std::move(done_); }

    bool put(const parts& statement) { return write(statement.key, statement.value); }
    bool get(const parts& statement)
    {
        const auto* value = find(statement.key);
        done_.rows.append(value == nullptr ? Json::Value() : Json::Value(*value));
        return true;
    }
    bool add(const parts& statement)
    {
        const auto* value = find(statement.key);
        auto sum =
            (value == nullptr ? 0 : number_in(*value)) + number_in(statement.value);
        return write(statement.key, std::to_string(sum));
    }
    bool append(const parts& statement)
    {
        const auto* value = find(statement.key);
        auto joined = value == nullptr ? statement.value : *value + "," + statement.value;
        return write(statement.key, std::move(joined));
    }
    bool sleep(const parts& statement)
    {
        done_.rows.append("slept");
        return papayabridge::parse_unsigned(statement.key).has_value();
    }
    bool blob(const parts& statement)
    {
        auto size = papayabridge::parse_unsigned(statement.key);
        if (!size || *size > longest_blob) {
            return false;
        }
        done_.rows.append(std::string(*size, 'x'));
        return true;
    }

private:
    const std::string* find(const std::string& key) const
    {
        auto own = done_.written.find(key);
        if (own != done_.written.end()) {
            return &own->second;
        }
        auto stored = data_->find(key);
        return stored == data_->end() ? nullptr : &stored->second;
    }
    bool write(const std::string& key, std::string value)
    {
        if (key.empty()) {
            return false;
        }
        done_.rows.append(value);
        done_.written[key] = std::move(value);
        return true;
    }

    const table* data_;
    execution done_;
};

// What each verb does.
struct verb_row
{
    std::string_view verb;
    bool writes;
    bool (executor::*run)(const parts&);
};

constexpr std::array<verb_row, 6> verbs{{
    {"put", true, &executor::put},
    {"get", false, &executor::get},
    {"add", true, &executor::add},
    {"append", true, &executor::append},
    {"sleep", false, &executor::sleep},
    {"blob", false, &executor::blob},
}};

const verb_row* row_of(std::string_view verb)
{
    const auto* found =
        std::find_if(verbs.begin(), verbs.end(),
                     [&](const verb_row& row) { return row.verb == verb; });
    return found == verbs.end() ? nullptr : found;
}

bool executor::run(const std::string& statement)
{
    auto split_parts = split(statement);
    const auto* row = row_of(split_parts.verb);
    return row != nullptr && (this->*row->run)(split_parts);
}

} // namespace

std::string_view to_string(refusal_kind kind) noexcept
{
    constexpr std::array<std::string_view, 8> names{
        "superseded",   "behind", "not_primary",      "leaving",
        "key_conflict", "busy",   "statement_failed", "too_many_connections"};
    return names[static_cast<std::size_t>(kind)];
}

outcome<execution> execute(const table& data, const statement_list& statements)
{
    executor runner(data);
    for (const auto& statement : statements) {
        if (!runner.run(statement)) {
            return refusal{refusal_kind::statement_failed, "cannot run: " + statement};
        }
    }
    return runner.take();
}

bool writes(const statement_list& statements)
{
    return std::any_of(statements.begin(), statements.end(), [](const auto& statement) {
        const auto* row = row_of(split(statement).verb);
        return row != nullptr && row->writes;
    });
}

std::chrono::milliseconds sleep_of(const statement_list& statements)
{
    std::chrono::milliseconds sum{0};
    for (const auto& statement : statements) {
        auto split_parts = split(statement);
        if (split_parts.verb == "sleep") {
            sum += std::chrono::milliseconds(number_in(split_parts.key));
        }
    }
    return sum;
}

} // namespace papayadb

#include <papayabridge/ids.hpp>
#include <papayabridge/json.hpp>
#include <papayabridge/settings.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace papayabridge {

namespace {

constexpr json_options settings_json{.max_depth = 16, .allow_comments = true};

bool is_continuation(char c)
{
    return (static_cast<unsigned char>(c) & 0xC0) == 0x80;
}

std::string abbreviated_json(const Json::Value& value)
{
    constexpr std::size_t max_bytes = 60;
    std::string text = to_json(value);
    if (text.size() <= max_bytes) {
        return text;
    }
    auto end = max_bytes;
    while (end > 0 && is_continuation(text[end])) {
        --end;
    }
    return text.substr(0, end) + "...";
}

// The first line number in an error message of jsoncpp; 0 if it has none.
std::size_t line_in_message(std::string_view message)
{
    constexpr std::string_view prefix = "Line ";
    auto found = message.find(prefix);
    if (found == std::string_view::npos) {
        return 0;
    }
    auto digits = message.substr(found + prefix.size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    return parse_unsigned(digits).value_or(0);
}

// Replaces line breaks by spaces.
std::string to_single_line(std::string text)
{
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text;
}

std::string describe_range(number_range range)
{
    return "a whole number from " + std::to_string(range.min) + " to " +
           std::to_string(range.max);
}

const char* const endpoint_format = "\"ADDRESS:PORT\" with a literal IP address";

} // namespace

std::string settings_problem::str() const
{
    std::string text = file;
    if (line != 0) {
        text += ":" + std::to_string(line);
    }
    text += ": " + path;
    if (!value.empty()) {
        text += ": " + value;
    }
    return text + "; accepted: " + accepted;
}

settings_document settings_document::open(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    // Inserting the buffer of an empty file or a folder sets the fail bit.
    if (!in || !(text << in.rdbuf())) {
        settings_document document;
        document.was_read_ = false;
        document.report_unreadable(
            {.file = file, .path = "(file)", .accepted = "a file that can be read"});
        return document;
    }
    return parse(file, std::move(text).str());
}

settings_document settings_document::parse(std::string file, std::string text)
{
    settings_document document;
    document.file_ = std::move(file);
    document.text_ = std::move(text);
    auto parsed = parse_json(document.text_, settings_json);
    if (!parsed) {
        const auto& detail = parsed.error().detail;
        document.report_unreadable({.file = document.file_,
                                    .line = line_in_message(detail),
                                    .path = "(file)",
                                    .value = to_single_line(detail),
                                    .accepted = "one JSON object, comments allowed"});
        return document;
    }
    document.root_ = std::move(parsed.value());
    return document;
}

void settings_document::report_unreadable(settings_problem problem)
{
    readable_ = false;
    problems_.push_back(std::move(problem));
}

std::size_t settings_document::line_of(const Json::Value& value) const
{
    auto offset = std::max<std::ptrdiff_t>(value.getOffsetStart(), 0);
    auto before = std::min(static_cast<std::size_t>(offset), text_.size());
    auto start = text_.begin();
    auto end = start + static_cast<std::ptrdiff_t>(before);
    return static_cast<std::size_t>(std::count(start, end, '\n')) + 1;
}

void settings_document::report(const Json::Value& value, std::string path,
                               std::string accepted)
{
    if (readable_) {
        problems_.push_back({.file = file_,
                             .line = line_of(value),
                             .path = std::move(path),
                             .value = abbreviated_json(value),
                             .accepted = std::move(accepted)});
    }
}

void settings_document::report_missing(const Json::Value& object, std::string path,
                                       std::string accepted)
{
    bool already_reported = !object.isObject() && !object.isNull();
    if (readable_ && !already_reported) {
        problems_.push_back({.file = file_,
                             .line = line_of(object),
                             .path = std::move(path),
                             .accepted = std::move(accepted)});
    }
}

std::string settings_document::problem_text() const
{
    std::string text;
    for (const auto& problem : problems_) {
        text += problem.str() + "\n";
    }
    return text;
}

settings_section::settings_section(settings_document& document)
    : settings_section(document, document.root(), "")
{
}

settings_section::settings_section(settings_document& document, const Json::Value& value,
                                   std::string path)
    : document_(&document), value_(&value), path_(std::move(path))
{
    if (!value_->isObject() && !value_->isNull()) {
        document_->report(*value_, path_.empty() ? "(file)" : path_, "an object");
    }
}

std::string settings_section::path_of(const char* name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + name;
}

bool settings_section::has(const char* name) const
{
    return value_->isObject() && value_->isMember(name);
}

std::vector<std::string> settings_section::member_names() const
{
    return value_->isObject() ? value_->getMemberNames() : std::vector<std::string>();
}

const Json::Value* settings_section::read_member(const char* name)
{
    read_names_.insert(name);
    return has(name) ? &(*value_)[name] : nullptr;
}

void settings_section::report_missing_member(const char* name, std::string accepted)
{
    document_->report_missing(*value_, path_of(name) + " (missing)", std::move(accepted));
}

std::string settings_section::text(const char* name)
{
    const auto* value = read_member(name);
    if (value == nullptr) {
        report_missing_member(name, "a string that is not empty");
        return {};
    }
    if (!value->isString() || value->asString().empty()) {
        document_->report(*value, path_of(name), "a string that is not empty");
        return {};
    }
    return value->asString();
}

std::string settings_section::text(const char* name, std::string fallback)
{
    return read_member(name) == nullptr ? std::move(fallback) : text(name);
}

std::uint64_t settings_section::number(const char* name, number_range range)
{
    const auto* value = read_member(name);
    if (value == nullptr) {
        report_missing_member(name, describe_range(range));
        return range.min;
    }
    if (!value->isUInt64() || value->asUInt64() < range.min ||
        value->asUInt64() > range.max) {
        document_->report(*value, path_of(name), describe_range(range));
        return range.min;
    }
    return value->asUInt64();
}

std::uint64_t settings_section::number(const char* name, number_range range,
                                       std::uint64_t fallback)
{
    return read_member(name) == nullptr ? fallback : number(name, range);
}

std::chrono::milliseconds settings_section::duration(const char* name, number_range range,
                                                     std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(
        number(name, range, static_cast<std::uint64_t>(fallback.count())));
}

bool settings_section::flag(const char* name, bool fallback)
{
    const auto* value = read_member(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->isBool()) {
        document_->report(*value, path_of(name), "true or false");
        return fallback;
    }
    return value->asBool();
}

boost::asio::ip::tcp::endpoint settings_section::endpoint(const char* name)
{
    const auto* value = read_member(name);
    if (value == nullptr) {
        report_missing_member(name, endpoint_format);
        return {};
    }
    auto parsed = value->isString() ? parse_endpoint(value->asString()) : std::nullopt;
    if (!parsed) {
        document_->report(*value, path_of(name), endpoint_format);
        return {};
    }
    return *parsed;
}

settings_section settings_section::section(const char* name)
{
    const auto* value = read_member(name);
    static const Json::Value absent;
    return {*document_, value == nullptr ? absent : *value, path_of(name)};
}

std::vector<settings_section> settings_section::list(const char* name)
{
    std::vector<settings_section> sections;
    const auto* value = read_member(name);
    if (value == nullptr) {
        return sections;
    }
    if (!value->isArray()) {
        document_->report(*value, path_of(name), "a list of objects");
        return sections;
    }
    for (Json::ArrayIndex i = 0; i < value->size(); ++i) {
        sections.emplace_back(*document_, (*value)[i],
                              path_of(name) + "[" + std::to_string(i) + "]");
    }
    return sections;
}

std::vector<boost::asio::ip::tcp::endpoint> settings_section::seeds()
{
    auto seed_endpoints = endpoints("seeds");
    if (has("keeper_port")) {
        auto port = static_cast<std::uint16_t>(number("keeper_port", {1, 65535}));
        for (auto& seed : seed_endpoints) {
            seed.port(port);
        }
    }
    return seed_endpoints;
}

std::vector<boost::asio::ip::tcp::endpoint> settings_section::endpoints(const char* name)
{
    std::vector<boost::asio::ip::tcp::endpoint> parsed_endpoints;
    const auto* value = read_member(name);
    if (value == nullptr) {
        return parsed_endpoints;
    }
    if (!value->isArray()) {
        document_->report(*value, path_of(name),
                          std::string("a list of ") + endpoint_format);
        return parsed_endpoints;
    }
    for (const auto& element : *value) {
        auto parsed =
            element.isString() ? parse_endpoint(element.asString()) : std::nullopt;
        if (parsed) {
            parsed_endpoints.push_back(*parsed);
        } else {
            document_->report(element, path_of(name), endpoint_format);
        }
    }
    return parsed_endpoints;
}

void settings_section::report_invalid(const char* name, std::string accepted)
{
    const auto* value = read_member(name);
    if (value == nullptr) {
        document_->report_missing(*value_, path_of(name), std::move(accepted));
    } else {
        document_->report(*value, path_of(name), std::move(accepted));
    }
}

void settings_section::report_unknown_members()
{
    if (!value_->isObject()) {
        return;
    }
    for (const auto& name : value_->getMemberNames()) {
        if (read_names_.count(name) != 0) {
            continue;
        }
        std::string accepted = "one of:";
        for (const auto& known : read_names_) {
            accepted += " " + known;
        }
        document_->report((*value_)[name], path_of(name.c_str()) + " (unknown)",
                          accepted);
    }
}

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    auto port = parse_unsigned(text.substr(colon + 1));
    boost::system::error_code ec;
    auto address = boost::asio::ip::make_address(host, ec);
    if (ec || !port || *port > 65535) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, static_cast<unsigned short>(*port));
}

std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint)
{
    auto host = endpoint.address().to_string();
    if (endpoint.address().is_v6()) {
        host = "[" + host + "]";
    }
    return host + ":" + std::to_string(endpoint.port());
}

} // namespace papayabridge

#include "gate_wire.hpp"

#include <nlohmann/json.hpp>

namespace papayabridge {

namespace {

using json = nlohmann::json;

// A longer wait than any configured timeout; bounds the arithmetic on times.
constexpr std::uint64_t max_time_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t max_rank = 1000;
// Operations of one account that one message is about; more than any entry runs at once.
constexpr std::uint64_t max_operations = 1'000'000;
// In place of the stage, says that the response holds only grants of tokens. They are
// sent hundreds of times a second, so that each byte counts.
constexpr std::uint64_t grants_marker = 9;

std::string pack(const json& value)
{
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

struct malformed : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Deeper than any message. The library reads nested values recursively, so that without a
// limit a short message could exhaust the stack.
constexpr unsigned max_depth = 8;

// Builds the value and stops at the depth limit.
class bounded_reader : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    using json_sax_dom_parser::json_sax_dom_parser;

    bool start_array(std::size_t size)
    {
        return ++depth_ <= max_depth && json_sax_dom_parser::start_array(size);
    }
    bool end_array()
    {
        --depth_;
        return json_sax_dom_parser::end_array();
    }
    bool start_object(std::size_t size)
    {
        return ++depth_ <= max_depth && json_sax_dom_parser::start_object(size);
    }
    bool end_object()
    {
        --depth_;
        return json_sax_dom_parser::end_object();
    }

private:
    unsigned depth_ = 0;
};

json unpack(std::string_view bytes)
{
    json value;
    bounded_reader reader(value, true);
    bool read = json::sax_parse(bytes.begin(), bytes.end(), &reader,
                                json::input_format_t::msgpack);
    if (!read) {
        throw malformed("nested too deeply");
    }
    return value;
}

// Reads the fields of an array in order. Throws `malformed` or an exception of the
// library.
class field_reader
{
public:
    explicit field_reader(const json& fields) : fields_(fields)
    {
        if (!fields.is_array()) {
            throw malformed("not an array");
        }
    }

    const json& next() { return fields_.at(at_++); }
    std::string text() { return next().get_ref<const std::string&>(); }
    bool flag() { return next().get_ref<const bool&>(); }
    std::uint64_t number(std::uint64_t max = UINT64_MAX)
    {
        const auto& value = next();
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
            throw malformed("field " + std::to_string(at_ - 1) +
                            " is not a number in range");
        }
        return value.get<std::uint64_t>();
    }
    template <class Enum>
    Enum choice(Enum last)
    {
        return static_cast<Enum>(number(static_cast<std::uint64_t>(last)));
    }
    template <class Duration>
    Duration time()
    {
        std::uint64_t unit = std::chrono::milliseconds(1) / Duration(1);
        return Duration(number(max_time_ms * unit));
    }
    std::optional<position> log_position()
    {
        const auto& value = next();
        if (value.is_null()) {
            return std::nullopt;
        }
        field_reader parts(value);
        position found{.term = term(parts.number()), .index = {}};
        found.index = log_index(parts.number());
        return found;
    }
    bool has_more() const { return at_ < fields_.size(); }
    void finish() const
    {
        if (at_ != fields_.size()) {
            throw malformed("unexpected fields at the end");
        }
    }

private:
    const json& fields_;
    std::size_t at_ = 0;
};

json encode_position(const std::optional<position>& value)
{
    return value ? json::array({value->term.value(), value->index.value()}) : json();
}

json encode_shape(const std::optional<prepared_shape>& shape)
{
    return shape ? json::array({shape->writes, shape->shape}) : json();
}

std::optional<prepared_shape> decode_shape(const json& value)
{
    if (value.is_null()) {
        return std::nullopt;
    }
    field_reader fields(value);
    prepared_shape shape{.writes = fields.flag(), .shape = {}};
    shape.shape = fields.text();
    fields.finish();
    return shape;
}

// The member is sent the arguments of an `execute`, and the text of all others.
json encode_statement(const statement& stmt)
{
    bool executes = stmt.verb == statement_verb::execute;
    return json::array({stmt.id.str(), static_cast<unsigned>(stmt.verb),
                        executes ? stmt.name : std::string(),
                        executes ? stmt.arguments : stmt.text});
}

statement decode_statement(const json& value)
{
    field_reader fields(value);
    statement stmt;
    stmt.id = request_id(fields.text());
    stmt.verb = fields.choice(statement_verb::drop_prepared);
    stmt.name = fields.text();
    auto text = fields.text();
    (stmt.verb == statement_verb::execute ? stmt.arguments : stmt.text) = std::move(text);
    fields.finish();
    return stmt;
}

json encode_answer(const result<statement_answer>& answer)
{
    if (!answer) {
        return json::array({answer_of(answer.error().kind).name, answer.error().detail});
    }
    const auto& value = answer.value();
    json failure;
    if (value.failure) {
        failure =
            json::array({answer_of(value.failure->kind).name, value.failure->detail});
    }
    return json::array({value.rows, value.receipt, std::move(failure),
                        static_cast<unsigned>(value.phase),
                        encode_position(value.log_position)});
}

error decode_error(const json& value)
{
    field_reader fields(value);
    auto kind = error_kind_of(fields.text());
    error found{kind, fields.text()};
    fields.finish();
    return found;
}

constexpr std::size_t error_field_count = 2;

result<statement_answer> decode_answer(const json& value)
{
    if (value.size() == error_field_count) {
        return decode_error(value);
    }
    field_reader fields(value);
    statement_answer answer;
    for (const auto& row : fields.next()) {
        answer.rows.push_back(row.get_ref<const std::string&>());
    }
    answer.receipt = fields.text();
    const auto& failure = fields.next();
    if (!failure.is_null()) {
        answer.failure = decode_error(failure);
    }
    answer.phase = fields.choice(session_phase::failed);
    answer.log_position = fields.log_position();
    fields.finish();
    return answer;
}

// Counts at the end are left out if they are 0, which they mostly are.
json encode_token_request(const token_request& request)
{
    auto fields = json::array({request.account.str(), request.wanted});
    if (request.ahead > 0 || request.overspent > 0) {
        fields.push_back(request.ahead);
    }
    if (request.overspent > 0) {
        fields.push_back(request.overspent);
    }
    return fields;
}

token_request decode_token_request(const json& value)
{
    field_reader fields(value);
    token_request request{.account = account_name(fields.text())};
    for (auto* count : {&request.wanted, &request.ahead, &request.overspent}) {
        bool is_left_out = count != &request.wanted && !fields.has_more();
        *count = is_left_out ? 0 : static_cast<unsigned>(fields.number(max_operations));
    }
    fields.finish();
    return request;
}

gate_message read_message(const json& value)
{
    field_reader fields(value);
    gate_message message;
    message.call = fields.choice(gate_call::grant_operations);
    message.transaction = fields.number();
    if (message.call == gate_call::grant_operations) {
        for (const auto& request : fields.next()) {
            message.token_requests.push_back(decode_token_request(request));
        }
        fields.finish();
        return message;
    }
    if (message.call == gate_call::ping || message.call == gate_call::end_transaction) {
        fields.finish();
        return message;
    }
    message.stmt = decode_statement(fields.next());
    message.time_left = fields.time<std::chrono::milliseconds>();
    message.writes = fields.flag();
    message.shape = decode_shape(fields.next());
    for (const auto& [name, text] : fields.next().items()) {
        message.session.values[name] = text.get_ref<const std::string&>();
    }
    if (message.call == gate_call::run) {
        message.service = service_name(fields.text());
        message.member = member_id(fields.text());
        message.scope = fields.choice(run_scope::begin_read_only);
        message.rank = static_cast<unsigned>(fields.number(max_rank));
        message.needs_primary = fields.flag();
        message.refuse_if_busy = fields.flag();
        message.at_least = fields.log_position();
        message.wait = fields.time<std::chrono::milliseconds>();
        if (fields.has_more()) {
            message.account = account_name(fields.text());
        }
    }
    fields.finish();
    return message;
}

gate_response read_response(const json& value)
{
    field_reader fields(value);
    gate_response response;
    auto stage = fields.number(grants_marker);
    if (stage == grants_marker) {
        response.answer = statement_answer();
        while (fields.has_more()) {
            auto granted = static_cast<unsigned>(fields.number(max_operations));
            response.token_grants.push_back(
                {.granted = granted,
                 .retry_after = fields.time<std::chrono::milliseconds>()});
        }
        return response;
    }
    if (stage > static_cast<std::uint64_t>(run_stage::sent)) {
        throw malformed("unknown stage");
    }
    response.stage = static_cast<run_stage>(stage);
    response.waited = fields.time<std::chrono::microseconds>();
    response.is_unservable = fields.flag();
    response.is_open = fields.flag();
    response.answer = decode_answer(fields.next());
    fields.finish();
    return response;
}

template <class Message>
result<Message> decode(std::string_view bytes, Message (*read)(const json&))
{
    std::string problem;
    if (bytes.size() > gate_message_limit) {
        return fail(error_kind::bad_request, "the message is too large");
    }
    try {
        return read(unpack(bytes));
    } catch (const std::exception& exception) {
        problem = exception.what();
    }
    return fail(error_kind::bad_request, "malformed gate message: " + problem);
}

} // namespace

std::string encode(const gate_message& message)
{
    auto fields = json::array({static_cast<unsigned>(message.call), message.transaction});
    bool carries_statement =
        message.call == gate_call::run || message.call == gate_call::run_in_transaction;
    if (carries_statement) {
        fields.push_back(encode_statement(message.stmt));
        fields.push_back(static_cast<std::uint64_t>(message.time_left.count()));
        fields.push_back(message.writes);
        fields.push_back(encode_shape(message.shape));
        fields.push_back(json::object());
        for (const auto& [name, text] : message.session.values) {
            fields.back()[name] = text;
        }
    }
    if (message.call == gate_call::grant_operations) {
        fields.push_back(json::array());
        for (const auto& request : message.token_requests) {
            fields.back().push_back(encode_token_request(request));
        }
    }
    if (message.call == gate_call::run) {
        fields.push_back(message.service.str());
        fields.push_back(message.member.str());
        fields.push_back(static_cast<unsigned>(message.scope));
        fields.push_back(message.rank);
        fields.push_back(message.needs_primary);
        fields.push_back(message.refuse_if_busy);
        fields.push_back(encode_position(message.at_least));
        fields.push_back(static_cast<std::uint64_t>(message.wait.count()));
        if (!message.account.empty()) {
            fields.push_back(message.account.str());
        }
    }
    return pack(fields);
}

std::string encode(const gate_response& response)
{
    if (!response.token_grants.empty()) {
        auto grants = json::array({grants_marker});
        for (const auto& grant : response.token_grants) {
            grants.push_back(grant.granted);
            grants.push_back(static_cast<std::uint64_t>(grant.retry_after.count()));
        }
        return pack(grants);
    }
    auto fields = json::array({static_cast<unsigned>(response.stage),
                               static_cast<std::uint64_t>(response.waited.count()),
                               response.is_unservable, response.is_open,
                               encode_answer(response.answer)});
    return pack(fields);
}

result<gate_message> decode_gate_message(std::string_view bytes)
{
    return decode(bytes, &read_message);
}

result<gate_response> decode_gate_response(std::string_view bytes)
{
    return decode(bytes, &read_response);
}

} // namespace papayabridge

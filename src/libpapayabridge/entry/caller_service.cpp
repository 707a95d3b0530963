#include "caller_service.hpp"

#include "caller_request.hpp"
#include "member_announcement.hpp"

#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::size_t chunk_bytes = 64 * 1024;
constexpr std::string_view caller_prefix = "/v1/";

std::string target_of(const http_exchange& exchange)
{
    auto target = exchange.request().target();
    return {target.data(), target.size()};
}

std::vector<std::string> split_at_slashes(std::string_view text)
{
    std::vector<std::string> segments;
    while (true) {
        auto slash = text.find('/');
        segments.emplace_back(text.substr(0, slash));
        if (slash == std::string_view::npos) {
            return segments;
        }
        text.remove_prefix(slash + 1);
    }
}

http_response json_response(unsigned status, const Json::Value& body)
{
    return make_response(status, to_json(body) + "\n");
}

Json::Value error_body(const error& problem, const request_id& request)
{
    const auto& row = answer_of(problem.kind);
    Json::Value body;
    body["error"] = std::string(row.name);
    body["ran"] = std::string(to_string(row.ran));
    body["retry"] = std::string(to_string(row.advice));
    body["detail"] = problem.detail;
    body["request"] = request.str();
    return body;
}

std::string caller_of(const http_exchange& exchange, const caller_request& statement)
{
    return statement.caller.empty() ? exchange.remote_endpoint().address().to_string()
                                    : statement.caller.str();
}

// Callers see a transaction as "ENTRY~ID", so that any entry can forward to its holder.
struct transaction_name
{
    entry_id entry;
    std::string id;
};

std::optional<transaction_name> parse_transaction(std::string_view text)
{
    auto mark = text.rfind('~');
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    return transaction_name{entry_id(std::string(text.substr(0, mark))),
                            std::string(text.substr(mark + 1))};
}

std::optional<statement_mode> transaction_mode(std::string_view action)
{
    if (action == "statements") {
        return statement_mode::step;
    }
    if (action == "commit") {
        return statement_mode::commit;
    }
    if (action == "rollback") {
        return statement_mode::rollback;
    }
    return std::nullopt;
}

} // namespace

struct caller_service::thread_state
{
    net::io_context* context = nullptr;
    std::unique_ptr<papayabridge::router> router;
    std::unordered_map<caller_id, std::size_t> in_progress;
};

const caller_service::route caller_service::routes[] = {
    {http::verb::get, "/healthz", &caller_service::answer_health},
    {http::verb::get, "/metrics", &caller_service::answer_metrics},
    {http::verb::post, "/internal/execute", &caller_service::execute_forwarded},
    {http::verb::post, "/v1/members", &caller_service::handle_announcement},
    {http::verb::post, "/admin/fault", &caller_service::inject_fault},
};

caller_service::caller_service(caller_service_options options)
    : options_(std::move(options)), codec_(options_.settings->fleet_key),
      request_prefix_(options_.settings->id.str() + "-" + random_hex_id().substr(0, 8) +
                      "-")
{
    for (auto* context : options_.traffic) {
        auto state = std::make_unique<thread_state>();
        state->context = context;
        router_options thread_options;
        thread_options.settings = options_.settings;
        thread_options.view = options_.view;
        thread_options.shards = options_.shards;
        thread_options.events = options_.events;
        state->router = std::make_unique<router>(thread_options);
        threads_.push_back(std::move(state));
    }
}

caller_service::~caller_service() = default;

net::awaitable<caller_service::thread_state*> caller_service::find_thread()
{
    auto here = co_await net::this_coro::executor;
    for (const auto& state : threads_) {
        if (here == state->context->get_executor()) {
            co_return state.get();
        }
    }
    co_return threads_.front().get();
}

request_id caller_service::next_request_id()
{
    return request_id(request_prefix_ + std::to_string(next_request_number_++));
}

net::awaitable<void> caller_service::handle(http_exchange& exchange)
{
    auto target = target_of(exchange);
    for (const auto& row : routes) {
        if (exchange.request().method() == row.verb && target == row.target) {
            co_await (this->*row.handler)(exchange);
            co_return;
        }
    }
    if (exchange.request().method() == http::verb::post &&
        target.starts_with(caller_prefix)) {
        co_await handle_caller_call(exchange);
        co_return;
    }
    auto problem = fail(error_kind::not_found, "unknown path; see the API page");
    auto body = error_body(problem, {});
    static_cast<void>(co_await exchange.reply(json_response(404, body)));
}

net::awaitable<void> caller_service::answer_health(http_exchange& exchange)
{
    bool ready = options_.control.is_ready();
    Json::Value body;
    body["ready"] = ready;
    body["entry"] = options_.settings->id.str();
    static_cast<void>(co_await exchange.reply(json_response(ready ? 200 : 503, body)));
}

net::awaitable<void> caller_service::answer_metrics(http_exchange& exchange)
{
    auto& all = metrics::process();
    auto totals = co_await options_.shards->totals();
    all.gauge_of("papaya_gate_databases")
        .set(static_cast<std::int64_t>(totals.databases));
    all.gauge_of("papaya_gate_leases").set(static_cast<std::int64_t>(totals.leases));
    all.gauge_of("papaya_gate_waiting").set(static_cast<std::int64_t>(totals.waiting));
    all.gauge_of("papaya_gate_running").set(static_cast<std::int64_t>(totals.running));
    for (const auto& link : options_.settings->links->links()) {
        for (std::size_t i = 0; i < traffic_cause_count; ++i) {
            std::string cause(to_string(static_cast<traffic_cause>(i)));
            metric_labels labels{{"region", link->region.str()},
                                 {"domain", link->domain.str()},
                                 {"cause", cause}};
            all.gauge_of("papaya_link_sent_bytes", labels)
                .set(static_cast<std::int64_t>(link->sent[i].load()));
            all.gauge_of("papaya_link_received_bytes", labels)
                .set(static_cast<std::int64_t>(link->received[i].load()));
        }
    }
    auto response = make_response(200, all.prometheus_text());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    static_cast<void>(co_await exchange.reply(std::move(response)));
}

net::awaitable<void> caller_service::execute_forwarded(http_exchange& exchange)
{
    auto request = gate_request_from(exchange, codec_);
    if (!request) {
        static_cast<void>(co_await exchange.reply(to_http(request.error())));
        co_return;
    }
    auto reply = co_await options_.shards->execute(std::move(request.value()));
    if (!reply) {
        static_cast<void>(co_await exchange.reply(to_http(reply.error())));
        co_return;
    }
    auto head = to_http(reply.value());
    co_await send_answer(exchange, std::move(head), std::move(reply.value()));
}

net::awaitable<void> caller_service::handle_announcement(http_exchange& exchange)
{
    auto change = decode_member_announcement(exchange.request().body());
    if (!change) {
        static_cast<void>(
            co_await exchange.reply(json_response(400, error_body(change.error(), {}))));
        co_return;
    }
    auto announced = co_await options_.control.announce(change.value());
    if (!announced) {
        auto status = answer_of(announced.error().kind).http_status;
        auto text = error_body(announced.error(), {});
        static_cast<void>(co_await exchange.reply(json_response(status, text)));
        co_return;
    }
    Json::Value confirmation;
    confirmation["known"] = true;
    static_cast<void>(co_await exchange.reply(json_response(200, confirmation)));
}

net::awaitable<void> caller_service::inject_fault(http_exchange& exchange)
{
    auto parsed = parse_json(exchange.request().body());
    if (!options_.settings->test_faults || !parsed) {
        auto problem = fail(error_kind::not_found, "test faults are not enabled");
        static_cast<void>(
            co_await exchange.reply(json_response(404, error_body(problem, {}))));
        co_return;
    }
    auto kind = text_of(parsed.value(), "cut");
    auto cut = kind == "both"      ? link_cut::both
               : kind == "send"    ? link_cut::send
               : kind == "receive" ? link_cut::receive
                                   : link_cut::none;
    auto domain = domain_name(text_of(parsed.value(), "domain"));
    options_.settings->links->set_cut(domain, cut);
    options_.events->record({.kind = event_kind::fault_injected,
                             .detail = "links to \"" + domain.str() + "\": " + kind});
    static_cast<void>(co_await exchange.reply(json_response(200, parsed.value())));
}

// --- Callers ---

result<caller_service::call_target> caller_service::parse_target(std::string_view text)
{
    text.remove_prefix(caller_prefix.size());
    auto segments = split_at_slashes(text);
    auto unknown = fail(error_kind::not_found, "unknown path; see the API page");
    if (segments.size() < 3 || segments[0].empty() || segments[1].empty()) {
        return unknown;
    }
    call_target target;
    target.database = {service_name(segments[0]), database_name(segments[1])};
    target.kind = segments[2];
    bool plain = segments.size() == 3 &&
                 (target.kind == "statements" || target.kind == "transactions");
    if (plain) {
        return target;
    }
    if (segments.size() != 5 || target.kind != "transactions" ||
        !transaction_mode(segments[4]))
    {
        return unknown;
    }
    target.transaction = segments[3];
    target.action = segments[4];
    return target;
}

net::awaitable<void> caller_service::handle_caller_call(http_exchange& exchange)
{
    auto target = parse_target(target_of(exchange));
    if (target) {
        co_await serve_call(exchange, target.value());
        co_return;
    }
    gate_request unparsed;
    unparsed.request = next_request_id();
    co_await answer_error(exchange, unparsed, target.error());
}

net::awaitable<void> caller_service::serve_call(http_exchange& exchange,
                                                const call_target& target)
{
    auto arrived = steady_clock::now();
    gate_request request;
    request.request = next_request_id();
    request.database = target.database;
    session_watermarks watermarks;
    auto reply = co_await dispatch(exchange, target, request, watermarks);
    bool ok = reply.has_value();
    std::string outcome(ok ? "served" : answer_of(reply.error().kind).name);
    co_await answer_caller(exchange, target, request, std::move(watermarks),
                           std::move(reply));
    count_request(request, outcome, arrived);
}

net::awaitable<result<gate_answer>>
caller_service::dispatch(http_exchange& exchange, const call_target& target,
                         gate_request& request, session_watermarks& watermarks)
{
    auto now = steady_clock::now();
    auto service = options_.view->current()->settings_for(target.database.service);
    bool in_transaction = !target.transaction.empty();
    auto kind = target.kind == "statements"     ? caller_body_kind::statement
                : target.action == "statements" ? caller_body_kind::step
                                                : caller_body_kind::control;
    auto parsed = read_caller_request(exchange.request().body(), kind, service);
    if (!parsed) {
        co_return parsed.error();
    }
    auto session = codec_.decode(exchange.header("Papaya-Session"));
    if (!session) {
        co_return session.error();
    }
    watermarks = std::move(session.value());
    auto& statement = parsed.value();
    request.rank = statement.rank;
    request.caller = caller_id(caller_of(exchange, statement));
    request.deadline = now + statement.deadline;
    request.min_position = watermarks.required_position(target.database);
    request.accepted_age = statement.accepted_age;
    request.key = statement.key;
    request.digest = statement.digest;
    request.body = std::move(statement.member_body);
    auto* thread = co_await find_thread();
    auto& in_progress = thread->in_progress[request.caller];
    if (in_progress >= service.limits.caller_in_progress) {
        co_return fail(error_kind::overloaded,
                       "the caller has too many requests in progress");
    }
    if (exchange.request().body().size() > service.limits.body_bytes.value()) {
        co_return fail(error_kind::too_large, "the body exceeds the service's limit");
    }
    ++thread->in_progress[request.caller];
    auto caller = request.caller;
    result<gate_answer> reply = fail(error_kind::internal, "not dispatched");
    if (in_transaction) {
        auto name = parse_transaction(target.transaction);
        request.mode = *transaction_mode(target.action);
        request.transaction = name ? name->id : target.transaction;
        reply = co_await thread->router->in_transaction(
            request, name ? name->entry : options_.settings->id);
    } else if (target.kind == "transactions") {
        request.mode = statement_mode::begin;
        reply = co_await thread->router->write(request, retry_rule::always);
    } else if (statement.write) {
        request.mode = statement_mode::write;
        auto rule = !statement.key.empty() ? retry_rule::by_key
                    : statement.repeatable ? retry_rule::always
                                           : retry_rule::only_if_not_run;
        reply = co_await thread->router->write(request, rule);
    } else {
        request.mode = statement_mode::read;
        reply = co_await thread->router->read(request);
    }
    auto found = thread->in_progress.find(caller);
    if (found != thread->in_progress.end() && --found->second == 0) {
        thread->in_progress.erase(found);
    }
    co_return reply;
}

net::awaitable<void> caller_service::answer_caller(http_exchange& exchange,
                                                   const call_target& target,
                                                   const gate_request& request,
                                                   session_watermarks watermarks,
                                                   result<gate_answer> reply)
{
    if (!reply) {
        co_await answer_error(exchange, request, reply.error());
        co_return;
    }
    auto& answer = reply.value();
    watermarks.advance(target.database, answer.reached);
    bool begun = request.mode == statement_mode::begin;
    auto head = make_response(begun ? 201 : 200, {});
    head.set("Papaya-Request", request.request.str());
    head.set("Papaya-Session", codec_.encode(watermarks));
    head.set("Papaya-Ran", "yes");
    head.set("Papaya-Served-By",
             answer.member.str() + (answer.primary ? ";primary" : ";replica"));
    if (answer.replayed) {
        head.set("Papaya-Replayed", "1");
    }
    if (begun) {
        Json::Value body;
        body["transaction"] = answer.transaction;
        head.body() = to_json(body);
        static_cast<void>(co_await exchange.reply(std::move(head)));
        co_return;
    }
    co_await send_answer(exchange, std::move(head), std::move(answer));
}

// A streamed answer is read from the member only as fast as the peer receives it.
net::awaitable<void> caller_service::send_answer(http_exchange& exchange,
                                                 http_response head, gate_answer answer)
{
    if (!answer.body_stream) {
        head.body() = std::move(answer.body);
        static_cast<void>(co_await exchange.reply(std::move(head)));
        co_return;
    }
    auto started = co_await exchange.start_reply(std::move(head), answer.length);
    if (!started) {
        co_return;
    }
    std::vector<char> chunk(answer.body.begin(), answer.body.end());
    std::size_t filled = chunk.size();
    chunk.resize(std::max(chunk_bytes, filled));
    while (true) {
        if (filled > 0) {
            auto written = co_await exchange.write_body({chunk.data(), filled});
            if (!written) {
                co_return;
            }
        }
        auto received = co_await answer.body_stream->read(chunk);
        if (!received) {
            exchange.close_after_reply();
            co_return;
        }
        filled = received.value();
        if (filled == 0) {
            co_return;
        }
    }
}

net::awaitable<void> caller_service::answer_error(http_exchange& exchange,
                                                  const gate_request& request,
                                                  const error& problem)
{
    options_.events->record({.kind = event_kind::request_refused,
                             .request = request.request,
                             .database = request.database.str(),
                             .detail = problem.str()});
    const auto& row = answer_of(problem.kind);
    auto response = json_response(row.http_status, error_body(problem, request.request));
    response.set("Papaya-Request", request.request.str());
    response.set("Papaya-Ran", std::string(to_string(row.ran)));
    static_cast<void>(co_await exchange.reply(std::move(response)));
}

void caller_service::count_request(const gate_request& request, std::string_view outcome,
                                   time_point arrived)
{
    // Looking up a metric takes a lock, so each thread caches the metrics that it used.
    thread_local by_rank<std::map<std::string, counter*, std::less<>>> counters;
    thread_local by_rank<latency_histogram*> latencies;
    auto& all = metrics::process();
    std::string rank(to_string(request.rank));
    auto found = counters[request.rank].find(outcome);
    if (found == counters[request.rank].end()) {
        std::string name(outcome);
        auto& created =
            all.counter_of("papaya_requests_total", {{"rank", rank}, {"outcome", name}});
        found = counters[request.rank].emplace(name, &created).first;
    }
    found->second->add();
    if (outcome == "served") {
        auto*& latency = latencies[request.rank];
        if (latency == nullptr) {
            latency = &all.latency_of("papaya_request_seconds", {{"rank", rank}});
        }
        latency->record(steady_clock::now() - arrived);
    }
}

} // namespace papayabridge

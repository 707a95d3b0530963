#include "replication.hpp"

#include <papayabridge/json.hpp>

namespace papayadb {

using namespace papayabridge;

namespace {
constexpr std::chrono::milliseconds pause_after_failure{50};
constexpr std::uint64_t long_poll_ms = 500;
constexpr std::chrono::seconds pull_timeout{2};
constexpr std::size_t longest_batch = 256ULL * 1024 * 1024;
} // namespace

net::awaitable<void> replication::run()
{
    while (true) {
        auto source = node_->state.following();
        if (!source || node_->faults.freeze_replication != 0) {
            co_await node_->changed.wait(steady_clock::now() + pause_after_failure);
            continue;
        }
        bool good = co_await pull(node_->state.accepted(), *source);
        if (!good) {
            co_await pause(pause_after_failure);
        }
    }
}

bool replication::still(term at) const
{
    return node_->state.accepted() == at && node_->state.following() &&
           node_->faults.freeze_replication == 0;
}

net::awaitable<bool> replication::pull(term at, endpoint source)
{
    auto target = "/replicate?from=" + node_->state.last().str() +
                  "&term=" + std::to_string(at.value()) +
                  "&wait_ms=" + std::to_string(long_poll_ms);
    auto request = make_request(http::verb::get, target);
    auto got =
        co_await pool_.call(source, std::move(request), longest_batch,
                            steady_clock::now() + pull_timeout, traffic_cause::statement);
    if (!got || got.value().result_int() != 200) {
        co_return false;
    }
    auto body = parse_json(got.value().body());
    if (!body || !still(at)) {
        co_return false;
    }
    bool taken = co_await take(at, body.value());
    co_return taken;
}

net::awaitable<bool> replication::take(term at, const Json::Value& body)
{
    if (body.isMember("hint")) {
        tail_hint hint{.index = log_index(number_of(body["hint"], "index")),
                       .term_there = term(number_of(body["hint"], "term"))};
        node_->state.cut_tail(hint);
        node_->file.truncated(node_->state.last().index);
        node_->keep_and_wake();
        co_return true;
    }
    auto received = steady_clock::now();
    for (const auto& value : body["entries"]) {
        auto entry = entry_of(value);
        std::chrono::microseconds age(number_of(value, "age_us"));
        auto due = received - age + std::chrono::milliseconds(node_->faults.lag_ms);
        if (due > steady_clock::now()) {
            node_->keep_and_wake();
            co_await pause(due - steady_clock::now());
        }
        // A fence or a new primary may have come while waiting.
        if (!entry || !still(at) || !node_->state.append(*entry)) {
            break;
        }
        node_->file.appended(*entry);
    }
    if (still(at)) {
        node_->matched_term = std::max(node_->matched_term, at);
    }
    auto last = parse_position(text_of(body, "last"));
    if (last && still(at) && node_->state.last() >= *last) {
        node_->complete = true;
    }
    node_->keep_and_wake();
    co_return still(at);
}

} // namespace papayadb

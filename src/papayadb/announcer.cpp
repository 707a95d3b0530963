#include "announcer.hpp"

#include <papayabridge/json.hpp>

namespace papayadb {

using namespace papayabridge;

namespace {
constexpr std::chrono::seconds interval{1};
constexpr std::chrono::milliseconds answer_timeout{700};
constexpr std::chrono::milliseconds pause_after_failure{50};
constexpr std::size_t longest_answer = 64 * 1024;
} // namespace

net::awaitable<void> announcer::run()
{
    const auto& entries = node_->settings.entries;
    while (!entries.empty()) {
        bool leaving = node_->leaving();
        bool complete = node_->complete;
        bool told = co_await announce_to(entries[next_ % entries.size()]);
        if (!told) {
            ++next_;
            co_await pause(pause_after_failure);
            continue;
        }
        auto next = steady_clock::now() + interval;
        while (steady_clock::now() < next && leaving == node_->leaving() &&
               complete == node_->complete)
        {
            co_await node_->changed.wait(next);
        }
    }
}

net::awaitable<bool> announcer::announce_to(endpoint entry)
{
    auto request = make_request(http::verb::post, "/v1/members", announcement());
    auto answer =
        co_await pool_.call(entry, std::move(request), longest_answer,
                            steady_clock::now() + answer_timeout, traffic_cause::control);
    co_return answer&& answer.value().result_int() < 300;
}

std::string announcer::announcement() const
{
    const auto& settings = node_->settings;
    Json::Value body;
    body["service"] = settings.service;
    body["database"] = settings.database;
    body["member"] = settings.member;
    body["endpoint"] = papayabridge::to_string(settings.listen);
    body["domain"] = settings.domain;
    body["region"] = settings.region;
    body["group_size"] = Json::UInt64(settings.group_size);
    body["slots"] = Json::UInt64(settings.slots);
    body["connections"] = Json::UInt64(settings.connections);
    body["condition"] = node_->leaving() ? "leaving" : "serving";
    body["complete"] = node_->complete;
    return to_json(body);
}

} // namespace papayadb

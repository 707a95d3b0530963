#include "peer_network.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds message_timeout{1000};
constexpr std::chrono::milliseconds snapshot_timeout{10'000};
constexpr std::chrono::milliseconds genesis_timeout{500};

net::awaitable<void> deliver(rpc_client* client, rpc_message message, time_point deadline)
{
    // The consensus sends lost messages again.
    static_cast<void>(
        co_await client->call("consensus.message", std::move(message), deadline));
}

bool is_receive_cut(const link& peer_link)
{
    link_cut cut = peer_link.cut;
    return cut == link_cut::receive || cut == link_cut::both;
}

result<genesis_report> genesis_report_from(const Json::Value& value)
{
    genesis_report report;
    report.id = keeper_id(text_of(value, "id"));
    const auto& endpoints = value["places"];
    for (const auto& id : endpoints.getMemberNames()) {
        auto parsed = parse_endpoint(text_of(endpoints, id.c_str()));
        if (parsed) {
            report.endpoints[keeper_id(id)] = *parsed;
        }
    }
    report.incarnation = keeper_incarnation(number_of(value, "incarnation"));
    report.voters = voters_from(value["voters"]);
    return report;
}

} // namespace

Json::Value to_value(const genesis_report& report)
{
    Json::Value value;
    value["id"] = report.id.str();
    value["incarnation"] = Json::UInt64(report.incarnation.value());
    value["voters"] = to_value(report.voters);
    for (const auto& [id, endpoint] : report.endpoints) {
        value["places"][id.str()] = to_string(endpoint);
    }
    return value;
}

peer_network::peer_network(net::any_io_executor executor, const keeper_settings& settings,
                           std::shared_ptr<rpc_clients> clients)
    : executor_(std::move(executor)), settings_(settings), clients_(std::move(clients))
{
    for (const auto& peer : settings.peers) {
        endpoints_[peer.id] = peer.rpc;
    }
    endpoints_[settings.id] = settings.rpc;
}

void peer_network::set_endpoint(const keeper_id& id, const tcp::endpoint& endpoint)
{
    if (id != settings_.id && !id.empty()) {
        endpoints_[id] = endpoint;
    }
}

void peer_network::remove_endpoint(const keeper_id& id)
{
    if (id != settings_.id) {
        endpoints_.erase(id);
    }
}

const tcp::endpoint* peer_network::endpoint_of(const keeper_id& id) const
{
    auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::vector<keeper_id> peer_network::peer_ids() const
{
    std::vector<keeper_id> ids;
    for (const auto& [id, endpoint] : endpoints_) {
        if (id != settings_.id) {
            ids.push_back(id);
        }
    }
    return ids;
}

void peer_network::send(const consensus_message& message,
                        const std::vector<entry_run>& entries)
{
    const auto* endpoint = endpoint_of(message.to);
    if (endpoint == nullptr) {
        return;
    }
    auto encoded = encode(message);
    rpc_message request;
    request.body = std::move(encoded.body);
    request.payload = std::move(encoded.bulk);
    for (const auto& entry : entries) {
        Json::Value item;
        item["entry"] = entry.id.str();
        item["incarnation"] = Json::UInt64(entry.incarnation);
        request.body["heard"].append(std::move(item));
    }
    bool is_snapshot = std::holds_alternative<snapshot_request>(message.body);
    auto timeout = is_snapshot ? snapshot_timeout : message_timeout;
    net::co_spawn(executor_,
                  deliver(&clients_->client_to(*endpoint), std::move(request),
                          steady_clock::now() + timeout),
                  net::detached);
}

std::optional<peer_message> peer_network::receive(const rpc_message& request) const
{
    auto decoded = decode({.body = request.body, .bulk = request.payload});
    if (!decoded) {
        return std::nullopt;
    }
    const auto* sender = endpoint_of(decoded.value().from);
    if (sender == nullptr || is_receive_cut(clients_->links()->link_to(*sender))) {
        return std::nullopt;
    }
    peer_message received{.message = std::move(decoded.value())};
    for (const auto& item : request.body["heard"]) {
        received.entries.push_back({.id = entry_id(text_of(item, "entry")),
                                    .incarnation = number_of(item, "incarnation")});
    }
    return received;
}

net::awaitable<result<rpc_message>> peer_network::call(keeper_id peer, std::string method,
                                                       rpc_message request,
                                                       time_point deadline)
{
    const auto* endpoint = endpoint_of(peer);
    if (endpoint == nullptr) {
        co_return fail(error_kind::unreachable,
                       "no address is known for keeper " + peer.str());
    }
    auto& client = clients_->client_to(*endpoint);
    auto answer = co_await client.call(std::move(method), std::move(request), deadline);
    co_return answer;
}

net::awaitable<result<rpc_message>>
peer_network::propose_at(tcp::endpoint endpoint, command change, time_point deadline)
{
    rpc_message request;
    request.body["command"] = to_value(change);
    auto& client = clients_->client_to(endpoint);
    auto answer = co_await client.call("keeper.propose", std::move(request), deadline);
    co_return answer;
}

net::awaitable<result<genesis_report>>
peer_network::request_genesis(tcp::endpoint endpoint)
{
    rpc_message request;
    auto deadline = steady_clock::now() + genesis_timeout;
    auto& client = clients_->client_to(endpoint);
    auto answer = co_await client.call("consensus.genesis", std::move(request), deadline);
    if (!answer) {
        co_return answer.error();
    }
    const auto& body = answer.value().body;
    co_return decode_guarded("genesis report", [&] { return genesis_report_from(body); });
}

} // namespace papayabridge

// Agreement on the initial voters, and discovery of other keepers.

#include "core/consensus/departed_keepers.hpp"
#include "elapsed.hpp"
#include "replicator.hpp"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds genesis_retry_interval{100};
// How often a keeper checks that its address is registered.
constexpr std::chrono::milliseconds registration_check_interval{300};
constexpr std::chrono::milliseconds registration_timeout{1000};
constexpr std::chrono::seconds departure_check_interval{1};

} // namespace

result<genesis_report> replicator::genesis() const
{
    if (!opened_) {
        return fail(error_kind::storage_failed, "the files are not read yet");
    }
    return genesis_report{.id = settings_.id,
                          .incarnation = incarnation_,
                          .voters = initial_voters_,
                          .endpoints = network_.endpoints()};
}

std::vector<tcp::endpoint> replicator::discovery_endpoints() const
{
    std::vector<tcp::endpoint> endpoints;
    auto add = [&](const tcp::endpoint& endpoint) {
        bool already_added =
            std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
        if (endpoint != settings_.rpc && !already_added) {
            endpoints.push_back(endpoint);
        }
    };
    std::for_each(seeds_.begin(), seeds_.end(), add);
    for (const auto& [id, endpoint] : network_.endpoints()) {
        add(endpoint);
    }
    return endpoints;
}

void replicator::set_peer_endpoint(const keeper_id& id, const tcp::endpoint& endpoint)
{
    network_.set_endpoint(id, endpoint);
    if (consensus_) {
        consensus_->add_peer(id, steady_clock::now());
    }
}

void replicator::set_peer_endpoints(const genesis_report& report)
{
    for (const auto& [id, endpoint] : report.endpoints) {
        set_peer_endpoint(id, endpoint);
    }
}

void replicator::set_peer_endpoints(const pool_state& pool)
{
    for (const auto& [id, registration] : pool.keepers()) {
        auto endpoint = parse_endpoint(registration.rpc);
        if (endpoint) {
            set_peer_endpoint(id, *endpoint);
        }
    }
}

void replicator::apply_registration(const keeper_record& keeper)
{
    auto endpoint = parse_endpoint(keeper.rpc);
    if (endpoint) {
        set_peer_endpoint(keeper.id, *endpoint);
    } else if (keeper.rpc.empty()) {
        network_.remove_endpoint(keeper.id);
    }
}

void replicator::propose_departures(time_point now)
{
    if (!duties_.is_leading() || now < departure_check_due_) {
        return;
    }
    departure_check_due_ = now + departure_check_interval;
    auto voters = consensus_->voters();
    auto settled_voters = consensus_->settled_voters();
    std::vector<keeper_sighting> known;
    const auto& registered = applied_.state().pool().keepers();
    for (const auto& [id, keeper] : registered) {
        keeper_sighting sighting{.id = id};
        sighting.votes =
            id == settings_.id || voters.count(id) != 0 || settled_voters.count(id) != 0;
        if (auto contact = consensus_->last_contact(id)) {
            sighting.since_contact = elapsed_since(*contact);
        }
        known.push_back(sighting);
    }
    auto leading_for =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - leading_since_);
    for (const auto& id : find_departed_keepers(known, leading_for)) {
        log_line(log_event::keeper_address_removed, {{"keeper", registered.at(id).rpc}});
        command change = register_keeper{.keeper = {.id = id}};
        propose_as_leader(change);
    }
}

// Addresses from entries that are not accepted yet are harmless: a keeper drops messages
// addressed to another one.
void replicator::set_peer_endpoints(const recovered_state& recovered)
{
    for (const auto& entry : recovered.entries) {
        const auto* text = std::get_if<command_text>(&entry.body);
        if (text == nullptr || text->json.find("register_keeper") == std::string::npos) {
            continue;
        }
        auto value = parse_json(text->json);
        auto change =
            value ? command_from(value.value()) : result<command>(value.error());
        if (!change) {
            continue;
        }
        const auto* registration = std::get_if<register_keeper>(&change.value());
        auto endpoint = registration == nullptr
                            ? std::nullopt
                            : parse_endpoint(registration->keeper.rpc);
        if (endpoint) {
            set_peer_endpoint(registration->keeper.id, *endpoint);
        }
    }
}

// A single keeper chooses the initial voters: with a list of peers, the one with the
// lowest id; else the one with the lowest seed address, and only at the first start of
// the fleet. It first has to reach all keepers and find that none knows any voters, so
// that a keeper that lost its disk cannot start a second group.
net::awaitable<bool> replicator::try_genesis()
{
    voter_map candidates{{settings_.id, incarnation_}};
    for (const auto& endpoint : discovery_endpoints()) {
        auto report = co_await network_.request_genesis(endpoint);
        if (!report) {
            continue;
        }
        set_peer_endpoints(report.value());
        if (!report.value().voters.empty()) {
            co_await adopt_voters(report.value().voters);
            co_return true;
        }
        candidates[report.value().id] = report.value().incarnation;
    }
    bool is_founder = false;
    if (uses_discovery()) {
        is_founder = settings_.is_first_start && candidates.size() == seeds_.size() &&
                     settings_.rpc == *std::min_element(seeds_.begin(), seeds_.end());
    } else {
        is_founder = candidates.size() == settings_.peers.size() &&
                     candidates.begin()->first == settings_.id;
    }
    if (is_founder) {
        co_await adopt_voters(std::move(candidates));
    }
    co_return is_founder;
}

net::awaitable<void> replicator::await_genesis()
{
    bool found = co_await try_genesis();
    while (!found && !stopping_) {
        co_await sleep_for(genesis_retry_interval);
        found = co_await try_genesis();
    }
}

// The leader sends nothing to a keeper it does not know, so a keeper without a leader
// asks the keepers it knows to propose its address.
net::awaitable<void> replicator::register_self()
{
    command change = register_keeper{.keeper = {.id = settings_.id,
                                                .rpc = to_string(settings_.rpc),
                                                .domain = settings_.domain}};
    if (leader_known()) {
        auto until = steady_clock::now() + registration_timeout;
        static_cast<void>(co_await propose(change, until, false));
        co_return;
    }
    for (const auto& endpoint : discovery_endpoints()) {
        auto report = co_await network_.request_genesis(endpoint);
        if (!report) {
            continue;
        }
        set_peer_endpoints(report.value());
        auto accepted = co_await network_.propose_at(
            endpoint, change, steady_clock::now() + registration_timeout);
        if (accepted) {
            co_return;
        }
    }
}

net::awaitable<void> replicator::keep_registered()
{
    while (!stopping_ && !storage_damaged_) {
        const auto& keepers = applied_.state().pool().keepers();
        auto found = keepers.find(settings_.id);
        bool registered =
            found != keepers.end() && found->second.rpc == to_string(settings_.rpc);
        // While the storage fails, no leader counts as known, yet the others know this
        // keeper's address.
        if (!storage_failure_ && (!registered || !leader_known())) {
            co_await register_self();
        }
        co_await sleep_for(registration_check_interval);
    }
}

net::awaitable<void> replicator::adopt_voters(voter_map voters)
{
    recovered_state initial_state;
    initial_state.snapshot.voters = std::move(voters);
    initial_state.snapshot.state = to_json(control_state().snapshot());
    storage_task task = [this, &initial_state] {
        return log_.save_snapshot(initial_state.snapshot, {});
    };
    co_await write_until_durable(std::move(task));
    auto found = initial_state.snapshot.voters.find(settings_.id);
    bool votes =
        found != initial_state.snapshot.voters.end() && found->second == incarnation_;
    log_line(log_event::group_joined, {{"as", votes ? "voter" : "learner"}});
    start_consensus(std::move(initial_state));
}

} // namespace papayabridge

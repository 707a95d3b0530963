// The first voters, and how keepers find each other.

#include "replicator.hpp"
#include "storage_worker.hpp"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <papayabridge/daemon.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

constexpr std::chrono::milliseconds genesis_pause{100};
// How often a keeper looks whether the others know its address.
constexpr std::chrono::milliseconds registration_pause{300};
constexpr std::chrono::milliseconds registration_timeout{1000};

} // namespace

genesis_report replicator::genesis() const
{
    return {.id = settings_.id,
            .incarnation = incarnation_,
            .voters = first_voters_,
            .endpoints = network_.endpoints()};
}

std::vector<tcp::endpoint> replicator::places_to_ask() const
{
    std::vector<tcp::endpoint> places;
    auto add = [&](const tcp::endpoint& place) {
        bool known = std::find(places.begin(), places.end(), place) != places.end();
        if (place != settings_.rpc && !known) {
            places.push_back(place);
        }
    };
    std::for_each(seeds_.begin(), seeds_.end(), add);
    for (const auto& [id, place] : network_.endpoints()) {
        add(place);
    }
    return places;
}

void replicator::set_peer_endpoint(const keeper_id& id, const tcp::endpoint& place)
{
    network_.set_endpoint(id, place);
    if (consensus_) {
        consensus_->add_peer(id, steady_clock::now());
    }
}

void replicator::learn_places(const genesis_report& report)
{
    for (const auto& [id, place] : report.endpoints) {
        set_peer_endpoint(id, place);
    }
}

void replicator::learn_places(const pool_state& pool)
{
    for (const auto& [id, known] : pool.keepers()) {
        auto place = parse_endpoint(known.rpc);
        if (place) {
            set_peer_endpoint(id, *place);
        }
    }
}

// Addresses in entries that may not be accepted do no harm: a message that reaches
// another keeper than it is meant for is dropped there.
void replicator::learn_places(const recovered_state& recovered)
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
        const auto* known = std::get_if<register_keeper>(&change.value());
        auto place = known == nullptr ? std::nullopt : parse_endpoint(known->keeper.rpc);
        if (place) {
            set_peer_endpoint(known->keeper.id, *place);
        }
    }
}

// One keeper names the first voters: that of the lowest id where all are listed, else
// that of the lowest seed address, and only at the first start of the fleet. It does so
// only while nobody of the group knows any, so that a keeper that lost its disk cannot
// begin a second group.
net::awaitable<bool> replicator::collect_genesis()
{
    voter_map fresh{{settings_.id, incarnation_}};
    for (const auto& place : places_to_ask()) {
        auto report = co_await network_.request_genesis(place);
        if (!report) {
            continue;
        }
        learn_places(report.value());
        if (!report.value().voters.empty()) {
            co_await adopt(report.value().voters);
            co_return true;
        }
        fresh[report.value().id] = report.value().incarnation;
    }
    bool may_name = false;
    if (finds_peers()) {
        may_name = settings_.is_first_start && fresh.size() == seeds_.size() &&
                   settings_.rpc == *std::min_element(seeds_.begin(), seeds_.end());
    } else {
        may_name = fresh.size() == settings_.peers.size() &&
                   fresh.begin()->first == settings_.id;
    }
    if (may_name) {
        co_await adopt(std::move(fresh));
    }
    co_return may_name;
}

net::awaitable<void> replicator::find_genesis()
{
    bool found = co_await collect_genesis();
    while (!found && !stopping_) {
        co_await pause(genesis_pause);
        found = co_await collect_genesis();
    }
}

// A keeper that the leader does not know hears from nobody, so it asks those it knows to
// have its address accepted.
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
    for (const auto& place : places_to_ask()) {
        auto report = co_await network_.request_genesis(place);
        if (!report) {
            continue;
        }
        learn_places(report.value());
        auto accepted = co_await network_.propose_at(
            place, change, steady_clock::now() + registration_timeout);
        if (accepted) {
            co_return;
        }
    }
}

net::awaitable<void> replicator::stay_registered()
{
    while (!stopping_ && !storage_failure_) {
        const auto& known = applied_.state().pool().keepers();
        auto found = known.find(settings_.id);
        bool registered =
            found != known.end() && found->second.rpc == to_string(settings_.rpc);
        if (!registered || !leader_known()) {
            co_await register_self();
        }
        co_await pause(registration_pause);
    }
}

net::awaitable<void> replicator::adopt(voter_map voters)
{
    recovered_state first;
    first.snapshot.voters = std::move(voters);
    first.snapshot.state = to_json(control_state().snapshot());
    storage_work work = [this, &first] { return log_.save_snapshot(first.snapshot, {}); };
    auto saved = co_await run_on(storage_, std::move(work));
    if (!saved) {
        break_storage(saved.error());
        co_return;
    }
    auto found = first.snapshot.voters.find(settings_.id);
    bool votes = found != first.snapshot.voters.end() && found->second == incarnation_;
    log_line(log_event::group_joined, {{"as", votes ? "voter" : "learner"}});
    start_consensus(std::move(first));
}

} // namespace papayabridge

#include "keeper_control.hpp"

#include <papayabridge/daemon.hpp>

namespace papayabridge {

namespace {

// Shorter than the second after which callers try another keeper.
constexpr std::chrono::milliseconds answer_timeout{850};

} // namespace

net::awaitable<result<void>> keeper_control::propose(command change)
{
    auto deadline = steady_clock::now() + answer_timeout;
    auto accepted = co_await replicated_.propose(std::move(change), deadline, false);
    if (!accepted) {
        co_return accepted.error();
    }
    if (!accepted.value().outcome.accepted) {
        co_return accepted.value().outcome.problem;
    }
    co_return success();
}

net::awaitable<result<void>>
keeper_control::publish(published_configuration configuration)
{
    auto version = log_number(configuration.version.value());
    auto applied_version = replicated_.applied().state().pool().configuration().version;
    if (configuration.version <= applied_version) {
        // An applied configuration was accepted by a majority and cannot be lost.
        co_return success();
    }
    command change = publish_configuration{.configuration = std::move(configuration)};
    auto published = co_await propose(std::move(change));
    log_line(log_event::configuration_sent,
             {{"version", version},
              {"before", log_number(applied_version.value())},
              {"outcome", published ? "durable" : "not_durable"},
              {"detail", published ? "" : published.error().str()}});
    co_return published;
}

net::awaitable<result<published_configuration>> keeper_control::newest()
{
    auto confirmed =
        co_await replicated_.wait_for_read_barrier(steady_clock::now() + answer_timeout);
    if (!confirmed) {
        co_return confirmed.error();
    }
    co_return replicated_.applied().state().pool().configuration();
}

// An announcement that changes nothing is not replicated, so that repeated announcements
// cost the other keepers and the entries nothing.
net::awaitable<result<void>> keeper_control::announce(pooled_member member)
{
    if (!replicated_.applied().state().pool().is_update(member)) {
        if (!replicated_.is_current()) {
            // It may be news against what the others hold.
            co_return fail(error_kind::no_quorum, "this keeper's state may be old");
        }
        co_return success();
    }
    log_line(log_event::member_reported,
             {{"member", member.run.id.str()},
              {"service", member.service.str()},
              {"at", member.endpoint},
              {"leaving", member.leaving ? "true" : "false"},
              {"claims_primary", member.claims_primary ? "true" : "false"},
              {"sequence", log_number(member.sequence)}});
    command change = report_member{.member = std::move(member)};
    auto reported = co_await propose(std::move(change));
    co_return reported;
}

net::awaitable<result<void>> keeper_control::withdraw(member_id id)
{
    const auto* member = replicated_.applied().state().pool().member(id);
    if (member == nullptr) {
        // This keeper may not have applied the member's announcement yet.
        auto confirmed = co_await replicated_.wait_for_read_barrier(steady_clock::now() +
                                                                    answer_timeout);
        if (!confirmed) {
            co_return confirmed.error();
        }
        member = replicated_.applied().state().pool().member(id);
    }
    if (member == nullptr) {
        co_return success();
    }
    auto run = member->run;
    log_line(log_event::member_withdrawn, {{"member", id.str()}});
    command change = remove_member{.run = run};
    auto removed = co_await propose(std::move(change));
    co_return removed;
}

} // namespace papayabridge

/// \file member_gate.hpp
/// The gate of one member. All statements to the member pass through it: it has the
/// queue, the slots, the connections and the open transactions.
///
/// Exactly one entry holds the gate of a member. It is used on one traffic thread only.

#pragma once

#include "change_notifier.hpp"
#include "connection_set.hpp"
#include "gate_request.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <papayabridge/admission.hpp>
#include <papayabridge/configuration.hpp>
#include <papayabridge/control_state.hpp>
#include <papayabridge/events.hpp>

namespace papayabridge {

/// Options of a gate.
struct member_gate_options
{
    database_key database;
    member_record member;
    service_settings service;
    std::string strategy = "shares";
    std::shared_ptr<link_table> links;
    /// Must outlive the gate.
    event_log* events = nullptr;
};

/// A member's answer, before the shard has checked that a majority holds its position.
struct member_answer
{
    gate_answer answer;
    /// Term under which the statement ran.
    papayabridge::term term;
    /// When the statement was sent to the member.
    time_point sent_at;
};

/// Queues and runs the statements of one member.
class member_gate : public std::enable_shared_from_this<member_gate>
{
public:
    member_gate(net::any_io_executor executor, member_gate_options options);
    ~member_gate();

    /// Runs one statement at the member. The kind of an error says whether it was sent.
    net::awaitable<result<member_answer>> execute(gate_request request);

    /// Accepts statements under term \p under. The member's address must not change.
    void open(term under, const member_record& member, const service_settings& service);
    /// Starts no further statement until resume(); queued statements stay queued.
    void pause() { paused_ = true; }
    void resume();
    /// Refuses queued statements, ends the open transactions and closes the connections.
    void close();
    /// Whether no statement runs and no transaction is open.
    bool is_idle() const;
    /// Whether transaction \p id is open here.
    bool has_transaction(const std::string& id) const;
    std::size_t open_transactions() const noexcept { return transactions_.size(); }
    std::size_t waiting() const { return admission_.waiting(); }
    unsigned running() const { return admission_.running(); }
    std::chrono::microseconds expected_wait(rank of) const
    {
        return admission_.expected_wait(of);
    }
    const member_record& member() const noexcept { return options_.member; }

    /// Frees slot and connection of a streamed answer. Called by member_stream.
    void finish_stream(std::uint64_t ticket, std::unique_ptr<http_connection> connection);

private:
    struct waiter;
    struct open_transaction;

    net::awaitable<result<std::uint64_t>> wait_for_slot(const gate_request& request);
    net::awaitable<result<member_answer>> run_single_statement(gate_request request);
    net::awaitable<result<member_answer>> run_in_transaction(gate_request request);
    net::awaitable<result<member_answer>> send_and_receive(http_connection& connection,
                                                           const gate_request& request);
    http_request build_message(const gate_request& request) const;
    result<void> check_accepts_work(const gate_request& request) const;
    void start_admitted();
    void end_transaction(const std::string& id, bool keep_connection);
    net::awaitable<void> expire_transaction(std::string id);

    net::any_io_executor executor_;
    member_gate_options options_;
    papayabridge::term term_;
    admission admission_;
    std::shared_ptr<connection_set> connections_;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
    std::map<std::string, std::shared_ptr<open_transaction>> transactions_;
    std::uint64_t next_ticket_ = 1;
    bool open_ = false;
    bool paused_ = false;
};

/// 128 bits from a cryptographic random generator, as hexadecimal digits. The text cannot
/// be guessed.
std::string random_hex_id();

} // namespace papayabridge

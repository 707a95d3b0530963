/// \file data_calls.hpp
/// `POST /statement`: reads, writes and transactions of gates.

#pragma once

#include "member_node.hpp"

#include <papayabridge/http.hpp>

namespace papayadb {

/// One data call, read from its headers and body.
struct data_call
{
    endpoint remote;
    std::string request;
    papayabridge::term gate;
    std::string mode;
    papayabridge::position min_position;
    /// Reads at a replica: the term whose primary it must follow.
    std::optional<papayabridge::term> follows;
    std::chrono::milliseconds wait{0};
    std::string key;
    std::string digest;
    statement_list statements;
};

/// What a data call gave.
struct data_answer
{
    papayabridge::position at;
    Json::Value rows{Json::arrayValue};
    bool replayed = false;
};

/// Serves data calls on one node.
class data_calls
{
public:
    explicit data_calls(member_node& node) : node_(&node) {}

    /// Answers one `POST /statement`.
    net::awaitable<void> serve(papayabridge::http_exchange& exchange);
    /// Rolls back what is open on the connection of \p remote.
    void closed(const endpoint& remote);

    bool may_show(const data_call& call) const;
    net::awaitable<outcome<data_answer>> read(const data_call& call);
    net::awaitable<outcome<data_answer>> write(const data_call& call);
    net::awaitable<outcome<data_answer>> begin(const data_call& call);
    net::awaitable<outcome<data_answer>> step(const data_call& call);
    net::awaitable<outcome<data_answer>> commit(const data_call& call);
    net::awaitable<outcome<data_answer>> rollback(const data_call& call);

private:
    net::awaitable<outcome<data_answer>> run(data_call call);
    net::awaitable<outcome<void>> admit(const data_call& call);
    net::awaitable<outcome<data_answer>> write_once(const data_call& call,
                                                    statement_list statements);
    net::awaitable<void> work(const statement_list& statements);
    outcome<void> check_leaving();
    outcome<open_transaction*> open_on(const data_call& call);
    net::awaitable<void> answer(papayabridge::http_exchange& exchange,
                                std::string request, data_answer done);
    net::awaitable<void> refuse(papayabridge::http_exchange& exchange, refusal why);

    member_node* node_;
};

} // namespace papayadb

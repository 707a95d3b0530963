/// \file control_calls.hpp
/// Control calls of gates and keepers, replication to replicas, and the calls that tests
/// use: `/stats`, `/log`, `/admin/fault`, `/admin/leave`.

#pragma once

#include "member_node.hpp"

#include <json/value.h>
#include <papayabridge/http.hpp>

namespace papayadb {

/// A control call: its path, query and JSON body.
struct control_call
{
    std::string path;
    std::map<std::string, std::string> query;
    Json::Value body{Json::objectValue};

    papayabridge::term term_in_query() const;
    std::uint64_t number(const std::string& name) const;
};

/// Serves everything that is no data call.
class control_calls
{
public:
    explicit control_calls(member_node& node) : node_(&node) {}

    net::awaitable<void> serve(papayabridge::http_exchange& exchange);

    using answer = papayabridge::http_response;
    net::awaitable<answer> position(const control_call& call);
    net::awaitable<answer> fence(const control_call& call);
    net::awaitable<answer> promote(const control_call& call);
    net::awaitable<answer> follow(const control_call& call);
    net::awaitable<answer> replicate(const control_call& call);
    net::awaitable<answer> stats(const control_call& call);
    net::awaitable<answer> log(const control_call& call);
    net::awaitable<answer> fault(const control_call& call);
    net::awaitable<answer> leave(const control_call& call);

private:
    answer accepted(const outcome<void>& done);
    answer superseded();
    answer entries_after(papayabridge::position from);

    member_node* node_;
};

} // namespace papayadb

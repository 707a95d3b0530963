/// \file replication.hpp
/// Pulls the primary's log while this member is a replica.

#pragma once

#include "member_node.hpp"

#include <papayabridge/http.hpp>

namespace papayadb {

/// Runs for the life of the process.
class replication
{
public:
    explicit replication(member_node& node) : node_(&node), pool_(node.settings.links) {}

    net::awaitable<void> run();

private:
    net::awaitable<bool> pull(papayabridge::term at, endpoint source);
    net::awaitable<bool> take(papayabridge::term at, const Json::Value& body);
    bool still(papayabridge::term at) const;

    member_node* node_;
    papayabridge::http_pool pool_;
};

} // namespace papayadb

/// \file announcer.hpp
/// Tells an entry, each second and at once on a change, that this member is there.

#pragma once

#include "member_node.hpp"

#include <papayabridge/http.hpp>

namespace papayadb {

/// Runs for the life of the process.
class announcer
{
public:
    explicit announcer(member_node& node) : node_(&node), pool_(node.settings.links) {}

    net::awaitable<void> run();

private:
    net::awaitable<bool> announce_to(endpoint entry);
    std::string announcement() const;

    member_node* node_;
    papayabridge::http_pool pool_;
    std::size_t next_ = 0;
};

} // namespace papayadb

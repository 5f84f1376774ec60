// Selects the instances to which new log entries are forwarded.
#pragma once

#include "fleet/member_table.h"

namespace sapphirepass {

enum class FanOut {
    // Each watcher of a failure domain is the root of a tree over the domain, and every member of the domain is
    // in every tree.
    DomainTrees,
    // Forwards to a few random instances of the whole fleet.
    Gossip,
    // Forwards nothing: every instance watches the store itself.
    WatchAll,
};

struct FanOutOptions {
    FanOut kind_ = FanOut::DomainTrees;
    // Number of watchers, and therefore of trees, in each failure domain.
    std::size_t watchers_ = 2;
    // Children per tree node, or number of random receivers.
    std::size_t width_ = 4;

    auto operator<=>(const FanOutOptions&) const = default;
};

// Children of this instance in the given tree of its failure domain; trees are numbered from 1.
auto treeChildren(const MemberTable& members, const FanOutOptions& options, std::size_t tree) -> std::vector<std::string>;

} // namespace sapphirepass

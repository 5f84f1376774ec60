// Whom an instance passes new log entries on to.
#pragma once

#include "fleet/member_table.h"

namespace sapphirepass {

enum class FanOut {
    // From each watcher of a failure domain down a tree over the domain; every member is in all trees.
    DomainTrees,
    // To a few instances drawn at random over the whole fleet.
    Gossip,
    // To nobody: each instance watches the store itself.
    WatchAll,
};

struct FanOutOptions {
    FanOut kind_ = FanOut::DomainTrees;
    // Watchers, and so trees, in each failure domain.
    std::size_t watchers_ = 2;
    // Children in a tree, or receivers drawn at random.
    std::size_t width_ = 4;

    auto operator<=>(const FanOutOptions&) const = default;
};

// Children of this instance in a tree of its domain, counted from 1.
auto treeChildren(const MemberTable& members, const FanOutOptions& options, std::size_t tree) -> std::vector<std::string>;

} // namespace sapphirepass

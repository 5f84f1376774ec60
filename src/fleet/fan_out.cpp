#include "fleet/fan_out.h"

#include "config/snapshot.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    // The root watcher first, then the other available members in an order specific to the tree, so that a
    // member generally has a different position in each tree.
    auto treeOrder(const MemberTable& members, const std::string& root, std::size_t tree) -> std::vector<std::string>
    {
        std::vector<std::pair<std::uint64_t, std::string>> keyed;
        for (const auto* member : members.list().domainMembers(members.self().domain_)) {
            const auto& name = member->id_.name_;
            const bool present = name == members.self().id_.name_ || members.isAvailable(name);
            if (present && name != root)
                keyed.emplace_back(hashText(fmt::format("{} {}", tree, name)), name);
        }
        std::sort(keyed.begin(), keyed.end());
        std::vector<std::string> order { root };
        for (auto& [hash, name] : keyed)
            order.push_back(std::move(name));
        return order;
    }
}

auto treeChildren(const MemberTable& members, const FanOutOptions& options, std::size_t tree) -> std::vector<std::string>
{
    const auto roots = members.watchers(members.self().domain_, options.watchers_);
    if (tree == 0 || tree > roots.size())
        return {};
    const auto order = treeOrder(members, roots[tree - 1], tree);
    const auto own = std::find(order.begin(), order.end(), members.self().id_.name_);
    const auto first = static_cast<std::size_t>(own - order.begin()) * options.width_ + 1;
    std::vector<std::string> children;
    for (auto i = first; i < first + options.width_ && i < order.size(); ++i)
        children.push_back(order[i]);
    return children;
}

} // namespace sapphirepass

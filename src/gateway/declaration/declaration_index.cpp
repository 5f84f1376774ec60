#include "gateway/declaration/declaration_index.h"

#include <algorithm>
#include <cctype>

namespace sapphirepass {

auto normalizedHost(std::string_view host) -> std::string
{
    std::string normal(host.substr(0, host.rfind(':')));
    std::transform(normal.begin(), normal.end(), normal.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return normal;
}

DeclarationIndex::DeclarationIndex(Declaration declaration)
    : declaration_(std::move(declaration))
{
    for (const auto& route : declaration_.routes_)
        routes_[normalizedHost(route.host_)].push_back(&route);
    for (auto& [host, routes] : routes_)
        std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) { return a->prefix_.size() > b->prefix_.size(); });
    for (const auto& service : declaration_.services_)
        services_[service.name_] = &service;
    for (const auto& workspace : declaration_.workspaces_) {
        for (const auto& key : workspace.keys_)
            keys_[key] = &workspace;
    }
    computeHomeRegionShares();
}

auto DeclarationIndex::computeHomeRegionShares() -> void
{
    double total = 0;
    for (const auto& workspace : declaration_.workspaces_)
        total += workspace.ratePerSecond_;
    for (const auto& workspace : declaration_.workspaces_) {
        for (const auto& region : workspace.homeRegions_)
            homeRegionShares_[region] += total > 0 ? workspace.ratePerSecond_ / total / static_cast<double>(workspace.homeRegions_.size()) : 0;
    }
}

auto DeclarationIndex::route(std::string_view host, std::string_view path) const -> const DeclaredRoute*
{
    const auto found = routes_.find(normalizedHost(host));
    if (found == routes_.end())
        return nullptr;
    for (const auto* route : found->second) {
        if (path.starts_with(route->prefix_))
            return route;
    }
    return nullptr;
}

auto DeclarationIndex::service(const std::string& name) const -> const DeclaredService*
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

auto DeclarationIndex::workspaceOf(const std::string& key) const -> const DeclaredWorkspace*
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : found->second;
}

} // namespace sapphirepass

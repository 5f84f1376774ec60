// Lookup tables for one version of the declaration.
#pragma once

#include "gateway/declaration/declaration_type.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace sapphirepass {

class DeclarationIndex {
public:
    explicit DeclarationIndex(Declaration declaration);

    auto declaration() const -> const Declaration& { return declaration_; }
    // The host's route with the longest prefix that matches the path, or null.
    auto route(std::string_view host, std::string_view path) const -> const DeclaredRoute*;
    auto service(const std::string& name) const -> const DeclaredService*;
    // The workspace that the API key belongs to, or null.
    auto workspaceOf(const std::string& key) const -> const DeclaredWorkspace*;
    // Share of all requests that is restricted to each region by workspaces with home regions, estimated from the
    // workspaces' rate limits.
    auto homeRegionShares() const -> const std::map<std::string, double>& { return homeRegionShares_; }
    auto requiresKeys() const -> bool { return !declaration_.workspaces_.empty(); }

private:
    auto computeHomeRegionShares() -> void;

    Declaration declaration_;
    // Routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<const DeclaredRoute*>> routes_;
    std::unordered_map<std::string, const DeclaredService*> services_;
    std::unordered_map<std::string, const DeclaredWorkspace*> keys_;
    std::map<std::string, double> homeRegionShares_;
};

// Lower-cases a host name and strips the port, for comparison.
auto normalizedHost(std::string_view host) -> std::string;

} // namespace sapphirepass

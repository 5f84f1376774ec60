// Look-ups in one version of the declaration.
#pragma once

#include "gateway/declaration_type.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace sapphirepass {

class DeclarationIndex {
public:
    explicit DeclarationIndex(Declaration declaration);

    auto declaration() const -> const Declaration& { return declaration_; }
    // The route of the host with the longest prefix of the path, or null.
    auto route(std::string_view host, std::string_view path) const -> const DeclaredRoute*;
    auto service(const std::string& name) const -> const DeclaredService*;
    // The workspace that holds the key, or null.
    auto workspaceOf(const std::string& key) const -> const DeclaredWorkspace*;
    // Part of all requests that workspaces may run only in a region, by region, going by their rates.
    auto homeRegionShares() const -> const std::map<std::string, double>& { return homedParts_; }
    auto requiresKeys() const -> bool { return !declaration_.workspaces_.empty(); }

private:
    auto measureHomes() -> void;

    Declaration declaration_;
    // Routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<const DeclaredRoute*>> routes_;
    std::unordered_map<std::string, const DeclaredService*> services_;
    std::unordered_map<std::string, const DeclaredWorkspace*> keys_;
    std::map<std::string, double> homedParts_;
};

// Host names compare without case and without the port.
auto normalizedHost(std::string_view host) -> std::string;

} // namespace sapphirepass

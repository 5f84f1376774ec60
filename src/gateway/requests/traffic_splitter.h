// Distributes the requests of a split route over its services in exact proportion to their weights.
#pragma once

#include "gateway/declaration/declaration_type.h"

#include <map>
#include <string>
#include <vector>

namespace sapphirepass {

// Smooth weighted round robin: over any period, each service is less than one request off its share.
class TrafficSplitter {
public:
    // The result is a reference into the route.
    auto next(const DeclaredRoute& route) -> const std::string&;

private:
    std::map<std::string, std::vector<double>> credits_;
};

} // namespace sapphirepass

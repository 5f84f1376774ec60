// Deals the requests of a split route to its services in exact proportion.
#pragma once

#include "gateway/declaration_type.h"

#include <map>
#include <string>
#include <vector>

namespace sapphirepass {

// Smooth weighted round robin: over any span each part is off by less than one request.
class TrafficSplitter {
public:
    // A reference into the route.
    auto next(const DeclaredRoute& route) -> const std::string&;

private:
    std::map<std::string, std::vector<double>> credits_;
};

} // namespace sapphirepass

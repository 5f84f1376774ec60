// Learns how many bytes the requests of each route transfer.
#pragma once

#include <map>
#include <string>

namespace sapphirepass {

class RouteBytes {
public:
    // Bytes of the bodies of a request and its response.
    auto record(const std::string& route, std::size_t bytes) -> void;
    // The moving average; 0 while nothing is known.
    auto expected(const std::string& route) const -> double;

private:
    std::map<std::string, double> averages_;
};

} // namespace sapphirepass

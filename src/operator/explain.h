// Prints the story of one request from the gateways' logs.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace sapphirepass {

struct LogLine {
    std::string time_;
    std::string instance_;
    std::string name_;
    // All other fields as KEY=VALUE, in their order.
    std::string fields_;

    auto operator<=>(const LogLine&) const = default;
};

// The lines about a request in order of time, and before them what its instances believed then: the newest line of
// each kind about the declaration, the store, the fleet and the upstreams that it was sent to.
auto explainRequest(std::istream& logs, const std::string& requestId) -> std::vector<LogLine>;
auto renderLogLine(const LogLine& line) -> std::string;

} // namespace sapphirepass

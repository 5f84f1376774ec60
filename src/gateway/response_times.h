// How long upstreams take for the requests of a route.
#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace sapphirepass {

class ResponseTimes {
public:
    auto note(const std::string& route, Duration took) -> void;
    // Mean of recent answers; nothing known yet gives the assumed time.
    auto usual(const std::string& route, Duration assumed) const -> Duration;

private:
    std::unordered_map<std::string, Duration> means_;
};

} // namespace sapphirepass

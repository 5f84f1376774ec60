// Typical response times of upstreams by route.
#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace sapphirepass {

class ResponseTimes {
public:
    auto record(const std::string& route, Duration took) -> void;
    // Moving average of recent responses, or the fallback if there were none.
    auto typical(const std::string& route, Duration fallback) const -> Duration;

private:
    std::unordered_map<std::string, Duration> means_;
};

} // namespace sapphirepass

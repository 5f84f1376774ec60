// Event log of the gateway's decisions, read by on-call engineers.
#pragma once

#include "base/event_type.h"

#include <nlohmann/json.hpp>

namespace sapphirepass {

using LogFields = nlohmann::ordered_json;

class DecisionLog {
public:
    virtual ~DecisionLog() = default;
    // Whether a successful request is logged; all instances decide alike for the same id.
    virtual auto isSuccessSampled(std::string_view requestId) const -> bool = 0;
    virtual auto write(EventId id, LogFields fields) -> void = 0;
};

} // namespace sapphirepass

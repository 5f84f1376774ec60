// Where decisions are told to on-call engineers.
#pragma once

#include "base/event_type.h"

#include <nlohmann/json.hpp>

namespace sapphirepass {

using LogFields = nlohmann::ordered_json;

class DecisionLog {
public:
    virtual ~DecisionLog() = default;
    // Whether lines about ordinary successes of this request are kept: the same on all instances.
    virtual auto isSuccessSampled(std::string_view requestId) const -> bool = 0;
    virtual auto write(EventId id, LogFields fields) -> void = 0;
};

} // namespace sapphirepass

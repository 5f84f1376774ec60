// How long a run is taken to last by an instance that is shutting down.
#pragma once

#include "gateway/declaration/declaration_type.h"
#include "gateway/requests/run_quantiles.h"

namespace sapphirepass {

// Time that few runs of the route exceed. Longer for requests that may not be repeated, as their callers lose them if the
// instance ends before the response.
auto runBound(const RunQuantiles& runs, const std::string& route, RepeatRule repeat, Duration latencyTarget) -> Duration;

} // namespace sapphirepass

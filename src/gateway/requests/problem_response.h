// Responses that the gateway generates itself (application/problem+json).
#pragma once

#include "gateway/requests/upstream_caller.h"

#include <optional>
#include <string_view>

namespace sapphirepass {

// Whether the request has run, as reported to the caller.
enum class Executed { No,
    Unknown };

auto problemResponse(unsigned status, std::string_view title, Executed executed, std::optional<Duration> retryAfter = std::nullopt) -> UpstreamResponse;

} // namespace sapphirepass

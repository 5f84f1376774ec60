// Answers of the gateway's own.
#pragma once

#include "gateway/upstream_caller.h"

#include <optional>
#include <string_view>

namespace sapphirepass {

// Whether the request has run, as far as the caller is told.
enum class Executed { No,
    Unknown };

auto problemResponse(unsigned status, std::string_view title, Executed executed, std::optional<Duration> retryAfter = std::nullopt) -> UpstreamResponse;

} // namespace sapphirepass

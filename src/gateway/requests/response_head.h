// Recognizes heads of responses that are no single response's.
#pragma once

#include "gateway/requests/upstream_caller.h"

#include <string>
#include <string_view>

namespace sapphirepass {

// Why the head cannot be one response's, although it could be parsed; empty if there is nothing against it. On a connection
// that has carried a response, a part of an earlier one may have been written again before it.
auto findHeadFault(const UpstreamResponse& response, const std::string& idHeader, bool mayFollowPart) -> std::string_view;

} // namespace sapphirepass

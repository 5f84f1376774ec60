// Recognizes heads of responses that are no single response's.
#pragma once

#include "gateway/requests/header_names.h"
#include "gateway/requests/upstream_caller.h"

#include <string_view>

namespace sapphirepass {

// Whether the response says that its request has not run.
auto saysNotRun(const UpstreamResponse& response, const HeaderNames& names) -> bool;

// Why the head cannot be one response's, although it could be parsed; empty if there is nothing against it. On a connection
// that has carried a response, a part of an earlier one may have been written again before it.
auto findHeadFault(const UpstreamResponse& response, const HeaderNames& names, bool mayFollowPart) -> std::string_view;

} // namespace sapphirepass

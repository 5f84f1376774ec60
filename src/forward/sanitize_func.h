// Removes a caller's key and connection headers from what goes to an upstream.
#pragma once

#include "base/request_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

// Whether a text holds something of the form of a key, plain or percent-encoded up to a few times.
auto containsKey(std::string_view text) -> bool;
// The headers that may be passed on.
auto sanitizeRequestHeaders(const std::vector<Header>& headers) -> std::vector<Header>;
// The query without the parameters that hold a key.
auto sanitizeQuery(std::string_view query) -> std::string;
// The headers of an upstream's answer that may be passed back.
auto sanitizeResponseHeaders(const std::vector<Header>& headers) -> std::vector<Header>;

} // namespace sapphirepass

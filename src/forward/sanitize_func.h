// Removes keys and connection-specific headers before requests and responses are forwarded.
#pragma once

#include "base/request_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

// Whether the text contains what looks like a key, plain or percent-encoded up to a few times over.
auto containsKey(std::string_view text) -> bool;
// Request headers that may be forwarded to an upstream: without credentials, keys and connection headers.
auto sanitizeRequestHeaders(const std::vector<Header>& headers) -> std::vector<Header>;
// The query without parameters that contain a key.
auto sanitizeQuery(std::string_view query) -> std::string;
// Response headers that may be forwarded to the caller.
auto sanitizeResponseHeaders(const std::vector<Header>& headers) -> std::vector<Header>;

} // namespace sapphirepass

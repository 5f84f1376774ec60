// Reads request and response headers, and builds the forwarded request and response.
#pragma once

#include "gateway/requests/header_names.h"
#include "gateway/requests/upstream_caller.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

// What the headers of a request say about it.
struct RequestMetadata {
    std::string attempt_;
    std::optional<Duration> deadline_;
    std::optional<std::string> key_;
    std::optional<std::string> object_;

    auto operator<=>(const RequestMetadata&) const = default;
};

auto readMetadata(const OutgoingRequest& request, const HeaderNames& names) -> RequestMetadata;

// The caller's request without its key and hop-by-hop headers.
auto forwardedRequest(OutgoingRequest request, const HeaderNames& names, const std::string& workspace) -> OutgoingRequest;
auto addAttemptHeaders(OutgoingRequest& request, const HeaderNames& names, const UpstreamEntry& upstream, Duration timeLeft) -> void;
// The upstream's response without hop-by-hop headers.
auto forwardedResponse(UpstreamResponse response) -> UpstreamResponse;

// The load header of a response. A figure that cannot be read or is out of range decides nothing: without valid counts
// there is no load, without a valid slowdown it is unknown.
struct LoadHeader {
    std::optional<ReportedLoad> load_;
    // Text of the header if a figure in it is not valid; empty otherwise.
    std::string invalid_;

    auto operator==(const LoadHeader&) const -> bool = default;
};

auto readLoad(const UpstreamResponse& response, const HeaderNames& names) -> LoadHeader;

} // namespace sapphirepass

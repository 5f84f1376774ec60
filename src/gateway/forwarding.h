// What is passed on of a request and of an answer.
#pragma once

#include "gateway/header_names.h"
#include "gateway/upstream_caller.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

// What a caller states about a request beside its path.
struct CallerMarks {
    std::string attempt_;
    std::optional<Duration> deadline_;
    std::optional<std::string> key_;
    std::optional<std::string> object_;

    auto operator<=>(const CallerMarks&) const = default;
};

auto readMarks(const OutgoingRequest& request, const HeaderNames& names) -> CallerMarks;

// The caller's request without its key and without headers that concern one connection only.
auto forwardedRequest(const OutgoingRequest& request, const HeaderNames& names, const std::string& workspace) -> OutgoingRequest;
auto addressAttempt(OutgoingRequest& request, const HeaderNames& names, const UpstreamEntry& upstream, Duration left) -> void;
// Drops the headers that concern the connection to the upstream only.
auto forwardedResponse(UpstreamResponse response) -> UpstreamResponse;
auto readLoad(const UpstreamResponse& response, const HeaderNames& names) -> std::optional<ReportedLoad>;

} // namespace sapphirepass

// The header names that callers and upstreams use; supplied by the platform adapter.
#pragma once

#include <string>

namespace sapphirepass {

struct HeaderNames {
    // Identifies an attempt of a caller; upstreams echo it in the response.
    std::string attempt_;
    // Milliseconds left for the request.
    std::string deadline_;
    // Cookie that names the object of the request.
    std::string objectCookie_;
    // Scheme of the caller's key in Authorization.
    std::string keyScheme_;
    // Workspace of the caller, set by the gateway.
    std::string workspace_;
    // Id of the only upstream that may run the request; others answer 421.
    std::string expectedUpstream_;
    // The upstream's signature of the response.
    std::string signature_;
    // Set by an upstream that did not run the request.
    std::string notExecuted_;
    // Load of an upstream as "running,waiting,slots".
    std::string load_;
    // Milliseconds until an upstream is no longer cold, in its responses to health requests.
    std::string coldLeft_;
    // "1" in all responses of an upstream that is leaving.
    std::string leaving_;
    // Requests per second that an upstream takes from all instances together.
    std::string limit_;

    auto operator<=>(const HeaderNames&) const = default;
};

} // namespace sapphirepass

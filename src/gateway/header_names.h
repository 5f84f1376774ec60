// The header names that callers and upstreams use; an adapter gives them.
#pragma once

#include <string>

namespace sapphirepass {

struct HeaderNames {
    // Identifies one attempt of a caller; upstreams echo it.
    std::string attempt_;
    // Milliseconds that are left for the request.
    std::string deadline_;
    // Name of the cookie that names the object of the request.
    std::string objectCookie_;
    // Scheme of the caller's key in Authorization.
    std::string keyScheme_;
    // Workspace of the caller, set by the gateway.
    std::string workspace_;
    // The start of an upstream that alone may run the request.
    std::string expectedUpstream_;
    // Proof of the upstream that it made the answer.
    std::string signature_;
    // Stated by an upstream that did not run the request.
    std::string notExecuted_;
    // "running,waiting,slots" of an upstream.
    std::string load_;
    // Milliseconds that an upstream stays cold, in its answers to health requests.
    std::string coldLeft_;

    auto operator<=>(const HeaderNames&) const = default;
};

} // namespace sapphirepass

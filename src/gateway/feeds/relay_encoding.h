// Encodes feeds from one instance to another: compressed, and against the newest large text that the follower holds.
#pragma once

#include "gateway/feeds/recent_texts.h"
#include "gateway/requests/upstream_caller.h"

#include <optional>

namespace sapphirepass {

// What a follower can decode. Instances of earlier builds accept no encoding and name none.
struct AcceptedEncoding {
    bool isCompressed_ = false;
    // Digest of a text that the follower holds; empty for none.
    std::string dictionary_;

    auto operator<=>(const AcceptedEncoding&) const = default;
};

// Adds to a follower's request what it can decode. Returns the text that the response may refer to.
auto offerEncoding(OutgoingRequest& request, const RecentTexts& held) -> std::optional<RecentTexts::Entry>;
auto acceptedEncoding(const OutgoingRequest& request) -> AcceptedEncoding;
// Leaves responses of less than 1 KiB as they are.
auto encodeResponse(UpstreamResponse& response, const AcceptedEncoding& accepted, const RecentTexts& held) -> void;
// offered is the text that was offered with the request. Returns an error message, or nothing.
auto decodeResponse(UpstreamResponse& response, const std::optional<RecentTexts::Entry>& offered) -> std::string;

} // namespace sapphirepass

// What an upstream has said about itself since its start.
#pragma once

#include "base/clock.h"

#include <optional>

namespace sapphirepass {

struct NamedLimit {
    // Requests per second that the upstream takes from all instances together; empty if it names none.
    std::optional<double> perSecond_;
    // Send time of the request whose response this was read from.
    MonotonicTime observedAt_ {};

    auto operator<=>(const NamedLimit&) const = default;
};

// Shared by all entries of the start, removed ones included: a response may arrive after the entry was removed, and the same
// start may register again.
struct StartNotices {
    // The upstream has said that it is leaving, or was draining. Final for this start.
    bool isLeaving_ = false;
    // The upstream has asked this instance for a pause.
    MonotonicTime pausedUntil_ {};
    NamedLimit limit_;
};

} // namespace sapphirepass

// What the request pipeline asks before it lets a keyed request through.
#pragma once

#include "admission/authenticate_func.h"

namespace sapphirepass {

class RequestGate {
public:
    virtual ~RequestGate() = default;
    // Refuses keyed requests as not run while this instance cannot know that it is current, and keys that
    // were withdrawn without the store. Thread-safe and quick.
    virtual auto checkGrant(const Result<Grant, Refusal>& granted) const -> Result<Grant, Refusal> = 0;
};

} // namespace sapphirepass

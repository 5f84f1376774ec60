// Check that the request pipeline applies to authenticated requests before it admits them.
#pragma once

#include "admission/authenticate_func.h"

namespace sapphirepass {

class RequestGate {
public:
    virtual ~RequestGate() = default;
    // Turns a grant for a key into a refusal marked as not executed while this instance cannot know that its
    // configuration is current, and refuses keys withdrawn while the store was unreachable. Thread-safe and
    // cheap, because it is called for every request.
    virtual auto checkGrant(const Result<Grant, Refusal>& granted) const -> Result<Grant, Refusal> = 0;
};

} // namespace sapphirepass

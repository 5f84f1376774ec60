// Decides when to probe a platform that has sent nothing while an instance waits in a watch.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace sapphirepass {

class SourceKeepalive {
public:
    explicit SourceKeepalive(const Clock& clock);

    // Whether to send a liveness probe now, given the number of answers received from the platform so far.
    auto isProbeDue(std::uint64_t answers) -> bool;

private:
    const Clock& clock_;
    std::uint64_t answers_ = 0;
    MonotonicTime idleSince_;
};

} // namespace sapphirepass

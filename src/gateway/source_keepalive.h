// Finds a platform that has fallen silent while an instance waits for its news.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace sapphirepass {

class SourceKeepalive {
public:
    explicit SourceKeepalive(const Clock& clock);

    // Whether the platform should be asked for a sign of life, given how many answers it has sent so far.
    auto isProbeDue(std::uint64_t answers) -> bool;

private:
    const Clock& clock_;
    std::uint64_t answers_ = 0;
    MonotonicTime quietSince_;
};

} // namespace sapphirepass

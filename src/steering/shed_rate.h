// Exponentially decaying rate of shed calls.
#pragma once

#include "base/clock.h"

namespace sapphirepass {

class ShedRate {
public:
    auto recordCall(bool shed, MonotonicTime now) -> void;
    // Between 0 and 1. Decays while there are no calls, so that the pool is tried again.
    auto at(MonotonicTime now) const -> double;

private:
    // Decayed counts of all calls and of shed ones.
    double calls_ = 0;
    double sheds_ = 0;
    MonotonicTime updated_;
};

} // namespace sapphirepass

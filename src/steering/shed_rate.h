// The share of calls that were shed of late.
#pragma once

#include "base/clock.h"

namespace sapphirepass {

class ShedRate {
public:
    auto note(bool shed, MonotonicTime now) -> void;
    // Between 0 and 1. Falls while there are no calls, so that a pool is tried again.
    auto at(MonotonicTime now) const -> double;

private:
    // Calls and sheds, each halved with every half-life.
    double calls_ = 0;
    double sheds_ = 0;
    MonotonicTime updated_;
};

} // namespace sapphirepass

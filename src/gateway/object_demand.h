// How often each object is asked for at this instance.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <unordered_map>

namespace sapphirepass {

class ObjectDemand {
public:
    explicit ObjectDemand(const Clock& clock)
        : clock_(clock)
    {
    }

    // Counts a request; returns the object's requests a second of late.
    auto recordRequest(std::uint64_t object) -> double;

private:
    struct Entry {
        double count_ = 0;
        MonotonicTime at_ {};
    };

    auto forgetOld() -> void;

    const Clock& clock_;
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace sapphirepass

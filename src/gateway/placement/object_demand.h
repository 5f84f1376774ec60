// Request rate of each object at this instance, as an exponentially decaying average.
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

    // Counts a request and returns the object's recent requests per second.
    auto recordRequest(std::uint64_t object) -> double;

private:
    struct Entry {
        double count_ = 0;
        MonotonicTime at_ {};
    };

    auto evictOld() -> void;

    const Clock& clock_;
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace sapphirepass

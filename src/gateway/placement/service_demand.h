// Requests per second that an instance is offered for a service, as reported in its heartbeats.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace sapphirepass {

// Bounds the size of heartbeats.
constexpr std::size_t maxDemandServices = 4;
// An instance handles far fewer requests per second, so larger rates are errors.
constexpr float maxDemandRate = 100'000;

struct ServiceDemand {
    // Hash of the name.
    std::uint64_t service_ = 0;
    float perSecond_ = 0;

    auto operator<=>(const ServiceDemand&) const = default;
};

// Comparisons with a rate that is not a number are false, so it is invalid.
inline auto isValid(const ServiceDemand& demand) -> bool { return demand.perSecond_ >= 0 && demand.perSecond_ <= maxDemandRate; }

} // namespace sapphirepass

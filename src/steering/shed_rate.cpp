#include "steering/shed_rate.h"

#include <cmath>

namespace sapphirepass {

namespace {
    constexpr std::chrono::milliseconds halfLife { 250 };
    // Calls that were answered, assumed without evidence.
    constexpr double assumedCalls = 5;

    auto decay(Duration elapsed) -> double
    {
        return std::exp2(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(halfLife));
    }
}

auto ShedRate::note(bool shed, MonotonicTime now) -> void
{
    const auto kept = decay(now - updated_);
    calls_ = calls_ * kept + 1;
    sheds_ = sheds_ * kept + (shed ? 1 : 0);
    updated_ = now;
}

auto ShedRate::at(MonotonicTime now) const -> double
{
    const auto kept = decay(now - updated_);
    return sheds_ * kept / (calls_ * kept + assumedCalls);
}

} // namespace sapphirepass

#include "steering/shed_rate.h"

#include <cmath>

namespace sapphirepass {

namespace {
    constexpr std::chrono::milliseconds halfLife { 250 };
    // Prior of successful calls: keeps the rate low until there are enough samples.
    constexpr double priorCalls = 5;

    auto decay(Duration elapsed) -> double
    {
        return std::exp2(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(halfLife));
    }
}

auto ShedRate::recordCall(bool shed, MonotonicTime now) -> void
{
    const auto remaining = decay(now - updated_);
    calls_ = calls_ * remaining + 1;
    sheds_ = sheds_ * remaining + (shed ? 1 : 0);
    updated_ = now;
}

auto ShedRate::at(MonotonicTime now) const -> double
{
    const auto remaining = decay(now - updated_);
    return sheds_ * remaining / (calls_ * remaining + priorCalls);
}

} // namespace sapphirepass

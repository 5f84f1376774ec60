#include "gateway/placement/route_bytes.h"

namespace sapphirepass {

namespace {
    constexpr double newestWeight = 0.05;
    // Routes come and go over the life of an instance.
    constexpr std::size_t maxRoutes = 1'024;
}

auto RouteBytes::record(const std::string& route, std::size_t bytes) -> void
{
    const auto value = static_cast<double>(bytes);
    const auto found = averages_.find(route);
    if (found != averages_.end()) {
        found->second += (value - found->second) * newestWeight;
        return;
    }
    if (averages_.size() >= maxRoutes)
        averages_.clear();
    averages_.emplace(route, value);
}

auto RouteBytes::expected(const std::string& route) const -> double
{
    const auto found = averages_.find(route);
    return found == averages_.end() ? 0 : found->second;
}

} // namespace sapphirepass

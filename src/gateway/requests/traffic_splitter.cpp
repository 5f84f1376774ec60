#include "gateway/requests/traffic_splitter.h"

#include <algorithm>

namespace sapphirepass {

auto TrafficSplitter::next(const DeclaredRoute& route) -> const std::string&
{
    const auto& parts = route.services_;
    if (parts.size() == 1)
        return parts.front().service_;
    auto& credits = credits_[route.name_];
    if (credits.size() != parts.size())
        credits.assign(parts.size(), 0);
    double total = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        credits[i] += parts[i].weight_;
        total += parts[i].weight_;
    }
    const auto most = std::max_element(credits.begin(), credits.end());
    *most -= total;
    return parts[static_cast<std::size_t>(most - credits.begin())].service_;
}

} // namespace sapphirepass

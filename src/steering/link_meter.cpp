#include "steering/link_meter.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace sapphirepass {

namespace {
    // Estimated size of the headers of a request or a response.
    constexpr std::int64_t headerBytes = 500;
    // Weight of the latest response in the moving average.
    constexpr double smoothingFactor = 0.1;

    struct Directions {
        std::string request_;
        std::string response_;
    };

    auto directionsOf(const Snapshot& snapshot, const CrossRegionCall& call) -> std::optional<Directions>
    {
        std::optional<Directions> directions;
        snapshot.table<Link>().forEach([&](const Link& link) {
            if (link.from_ == call.from_ && link.to_ == call.to_)
                directions = Directions { link.name_ + ":out", link.name_ + ":in" };
            else if (link.to_ == call.from_ && link.from_ == call.to_)
                directions = Directions { link.name_ + ":in", link.name_ + ":out" };
        });
        return directions;
    }
}

auto LinkMeter::payDebt(const std::string& direction) -> bool
{
    const auto debt = debt_.find(direction);
    if (debt == debt_.end())
        return true;
    // Paid in chunks, as the debt may exceed what the budget holds at once.
    constexpr std::int64_t chunk = 16 * 1024;
    while (debt->second > 0) {
        const auto amount = std::min(chunk, debt->second);
        if (!budgets_.trySpend({ BudgetKind::LinkBytes, direction }, amount))
            return false;
        debt->second -= amount;
    }
    debt_.erase(debt);
    return true;
}

auto LinkMeter::tryReserve(const Snapshot& snapshot, const CrossRegionCall& call, std::int64_t requestBytes) -> bool
{
    const auto directions = directionsOf(snapshot, call);
    if (!directions)
        return true;
    const std::lock_guard lock(mutex_);
    if (!payDebt(directions->request_) || !payDebt(directions->response_))
        return false;
    const auto responseBytes = static_cast<std::int64_t>(std::lround(meanResponseBytes_[call.service_])) + headerBytes;
    // The response is charged first: if the second charge fails, only the smaller one is lost.
    return budgets_.trySpend({ BudgetKind::LinkBytes, directions->response_ }, responseBytes)
        && budgets_.trySpend({ BudgetKind::LinkBytes, directions->request_ }, requestBytes + headerBytes);
}

auto LinkMeter::recordResponse(const Snapshot& snapshot, const CrossRegionCall& call, std::int64_t responseBytes) -> void
{
    const std::lock_guard lock(mutex_);
    auto& mean = meanResponseBytes_[call.service_];
    const auto reserved = static_cast<std::int64_t>(std::lround(mean));
    mean += smoothingFactor * (static_cast<double>(responseBytes) - mean);
    const auto directions = directionsOf(snapshot, call);
    if (directions && responseBytes > reserved)
        debt_[directions->response_] += responseBytes - reserved;
}

} // namespace sapphirepass

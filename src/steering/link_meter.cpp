#include "steering/link_meter.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace sapphirepass {

namespace {
    // Head of a request or an answer, in bytes.
    constexpr std::int64_t headBytes = 500;
    // Weight of the latest answer in the mean.
    constexpr double meanWeight = 0.1;

    struct Directions {
        std::string request_;
        std::string answer_;
    };

    auto directionsOf(const Snapshot& snapshot, const LinkUse& use) -> std::optional<Directions>
    {
        std::optional<Directions> directions;
        snapshot.table<Link>().forEach([&](const Link& link) {
            if (link.from_ == use.from_ && link.to_ == use.to_)
                directions = Directions { link.name_ + ":out", link.name_ + ":in" };
            else if (link.to_ == use.from_ && link.from_ == use.to_)
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
    // In parts, as a debt may be larger than the budget holds at once.
    constexpr std::int64_t part = 16 * 1024;
    while (debt->second > 0) {
        const auto amount = std::min(part, debt->second);
        if (!budgets_.trySpend({ BudgetKind::LinkBytes, direction }, amount))
            return false;
        debt->second -= amount;
    }
    debt_.erase(debt);
    return true;
}

auto LinkMeter::tryReserve(const Snapshot& snapshot, const LinkUse& use, std::int64_t requestBytes) -> bool
{
    const auto directions = directionsOf(snapshot, use);
    if (!directions)
        return true;
    const std::lock_guard lock(mutex_);
    if (!payDebt(directions->request_) || !payDebt(directions->answer_))
        return false;
    const auto answerBytes = static_cast<std::int64_t>(std::lround(answerMean_[use.service_])) + headBytes;
    // The answer goes first: where the second spending fails, the smaller part is lost.
    return budgets_.trySpend({ BudgetKind::LinkBytes, directions->answer_ }, answerBytes)
        && budgets_.trySpend({ BudgetKind::LinkBytes, directions->request_ }, requestBytes + headBytes);
}

auto LinkMeter::recordResponse(const Snapshot& snapshot, const LinkUse& use, std::int64_t answerBytes) -> void
{
    const std::lock_guard lock(mutex_);
    auto& mean = answerMean_[use.service_];
    const auto reserved = static_cast<std::int64_t>(std::lround(mean));
    mean += meanWeight * (static_cast<double>(answerBytes) - mean);
    const auto directions = directionsOf(snapshot, use);
    if (directions && answerBytes > reserved)
        debt_[directions->answer_] += answerBytes - reserved;
}

} // namespace sapphirepass

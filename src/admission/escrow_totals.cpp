#include "admission/escrow_totals.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr std::int64_t bytesPerMegabit = 125'000;
    // Where no burst is declared, the burst of a rate limit is the limit divided by this.
    constexpr std::int64_t moveBurstDivisor = 10;
    constexpr std::int64_t linkBurstDivisor = 4;

    // Splits the limit between burst and rate, so that no window of one second exceeds the limit.
    auto splitPerSecondLimit(std::int64_t limit, std::int64_t burstDivisor) -> BudgetTotal
    {
        const auto burst = std::max<std::int64_t>(1, limit / burstDivisor);
        return { std::max<std::int64_t>(1, limit - burst), burst };
    }
}

auto totalsOf(const Snapshot& snapshot) -> BudgetTotals
{
    BudgetTotals totals;
    snapshot.table<Workspace>().forEach([&](const Workspace& workspace) {
        totals[{ BudgetKind::WorkspaceRate, workspace.name_ }] = { workspace.rate_, workspace.burst_ };
    });
    snapshot.table<Move>().forEach([&](const Move& move) {
        if (move.cap_ > 0)
            totals[{ BudgetKind::MoveCap, move.name_ }] = splitPerSecondLimit(move.cap_, moveBurstDivisor);
    });
    snapshot.table<Region>().forEach([&](const Region& region) {
        if (region.limit_ > 0)
            totals[{ BudgetKind::RegionSlots, region.name_ }] = { 0, region.limit_ };
    });
    snapshot.table<Link>().forEach([&](const Link& link) {
        for (const auto* direction : { ":out", ":in" })
            totals[{ BudgetKind::LinkBytes, link.name_ + direction }] = splitPerSecondLimit(link.megabits_ * bytesPerMegabit, linkBurstDivisor);
    });
    snapshot.table<Upstream>().forEach([&](const Upstream& upstream) {
        totals[{ BudgetKind::UpstreamSlots, upstream.name_ }] = { 0, upstream.slots_ };
    });
    return totals;
}

} // namespace sapphirepass

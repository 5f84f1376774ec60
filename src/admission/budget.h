// Fleet-wide limits that an instance enforces locally, without a remote call. The total of each limit is split
// into shares, and an instance spends only its own share.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirepass {

enum class BudgetKind : std::uint16_t {
    // Requests per second with a burst; the name is a workspace.
    WorkspaceRate = 1,
    // Requests per second; the name is a move.
    MoveCap = 2,
    // Concurrent requests; the name is a region.
    RegionSlots = 3,
    // Bytes per second; the name is a link and its direction, for example luzon-visayas:out.
    LinkBytes = 4,
    // Concurrent requests; the name is an upstream.
    UpstreamSlots = 5,
};

struct BudgetId {
    BudgetKind kind_ = BudgetKind::WorkspaceRate;
    std::string name_;

    auto operator<=>(const BudgetId&) const = default;
};

// Thread-safe.
class Budgets {
public:
    virtual ~Budgets() = default;
    // Spends the amount from this instance's share. Returns false and spends nothing if the share is too small.
    virtual auto trySpend(const BudgetId& id, std::int64_t amount) -> bool = 0;
    // Returns slots of a concurrency limit. No effect on rate limits.
    virtual auto releaseSlots(const BudgetId& id, std::int64_t amount) -> void = 0;
};

} // namespace sapphirepass

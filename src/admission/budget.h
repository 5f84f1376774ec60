// Fleet-wide limits, spent without asking anyone. Every limit is a total that is split into shares;
// an instance spends only its own.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirepass {

enum class BudgetKind : std::uint16_t {
    // Requests a second with a burst; the name is a workspace.
    WorkspaceRate = 1,
    // Requests a second; the name is a move.
    MoveCap = 2,
    // Requests running at once; the name is a region.
    RegionSlots = 3,
    // Bytes a second; the name is a link and its direction, such as luzon-visayas:out.
    LinkBytes = 4,
    // Requests running at once; the name is an upstream.
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
    // Spends that amount of this instance's share; false, and nothing spent, if the share is too small.
    virtual auto trySpend(const BudgetId& id, std::int64_t amount) -> bool = 0;
    // Returns what was spent of a limit of things running at once. No effect on limits over time.
    virtual auto releaseSlots(const BudgetId& id, std::int64_t amount) -> void = 0;
};

} // namespace sapphirepass

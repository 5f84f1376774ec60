// Splits each declared limit into equal static shares. The total is never exceeded, but unused shares are wasted.
#pragma once

#include "admission/budget.h"
#include "base/clock.h"
#include "config/config_state.h"

#include <deque>
#include <map>
#include <mutex>

namespace sapphirepass {

// Rate limits hold in every sliding window of one second. Thread-safe.
class FixedShareBudgets final : public Budgets {
public:
    // maxInstances: the most instances that the fleet has at the same time.
    FixedShareBudgets(const Clock& clock, const ConfigState& config, std::int64_t maxInstances);

    auto trySpend(const BudgetId& id, std::int64_t amount) -> bool override;
    auto releaseSlots(const BudgetId& id, std::int64_t amount) -> void override;

private:
    struct Charge {
        MonotonicTime at_;
        std::int64_t amount_;
    };
    struct Window {
        std::deque<Charge> charges_;
        std::int64_t sum_ = 0;
    };

    auto share(const BudgetId& id) const -> std::int64_t;
    auto used(const BudgetId& id) -> std::int64_t;

    const Clock& clock_;
    const ConfigState& config_;
    std::int64_t maxInstances_;
    std::mutex mutex_;
    std::map<BudgetId, std::int64_t> inUse_;
    std::map<BudgetId, Window> windows_;
};

} // namespace sapphirepass

#include "steering/fixed_share_budgets.h"

namespace sapphirepass {

namespace {
    constexpr std::chrono::seconds windowLength { 1 };
    constexpr std::int64_t bytesPerMegabit = 125'000;

    auto isRateLimit(BudgetKind kind) -> bool
    {
        return kind == BudgetKind::WorkspaceRate || kind == BudgetKind::MoveCap || kind == BudgetKind::LinkBytes;
    }

    // The declared limit of the whole fleet; 0 if no item has that name.
    auto declaredLimit(const Snapshot& snapshot, const BudgetId& id) -> std::int64_t
    {
        const auto limit = [&]<typename T>(std::string_view name, std::int64_t T::*member) {
            const auto* item = snapshot.find<T>(name);
            return item == nullptr ? 0 : item->*member;
        };
        switch (id.kind_) {
        case BudgetKind::WorkspaceRate:
            return limit(id.name_, &Workspace::rate_);
        case BudgetKind::MoveCap:
            return limit(id.name_, &Move::cap_);
        case BudgetKind::RegionSlots:
            return limit(id.name_, &Region::limit_);
        case BudgetKind::LinkBytes:
            return bytesPerMegabit * limit(std::string_view(id.name_).substr(0, id.name_.rfind(':')), &Link::megabits_);
        case BudgetKind::UpstreamSlots:
            return limit(id.name_, &Upstream::slots_);
        }
        return 0;
    }
}

FixedShareBudgets::FixedShareBudgets(const Clock& clock, const ConfigState& config, std::int64_t maxInstances)
    : clock_(clock)
    , config_(config)
    , maxInstances_(maxInstances)
{
}

auto FixedShareBudgets::share(const BudgetId& id) const -> std::int64_t
{
    return declaredLimit(*config_.snapshot(), id) / maxInstances_;
}

auto FixedShareBudgets::used(const BudgetId& id) -> std::int64_t
{
    if (!isRateLimit(id.kind_))
        return inUse_[id];
    auto& window = windows_[id];
    while (!window.charges_.empty() && clock_.now() - window.charges_.front().at_ >= windowLength) {
        window.sum_ -= window.charges_.front().amount_;
        window.charges_.pop_front();
    }
    return window.sum_;
}

auto FixedShareBudgets::trySpend(const BudgetId& id, std::int64_t amount) -> bool
{
    const std::lock_guard lock(mutex_);
    if (used(id) + amount > share(id))
        return false;
    if (isRateLimit(id.kind_)) {
        windows_[id].charges_.push_back({ clock_.now(), amount });
        windows_[id].sum_ += amount;
    } else {
        inUse_[id] += amount;
    }
    return true;
}

auto FixedShareBudgets::releaseSlots(const BudgetId& id, std::int64_t amount) -> void
{
    const std::lock_guard lock(mutex_);
    if (!isRateLimit(id.kind_))
        inUse_[id] -= amount;
}

} // namespace sapphirepass

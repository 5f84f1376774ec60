#include "admission/fair_queue.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Virtual duration of a request of weight 1. The algorithm is start-time fair queueing (Goyal, Vin and Cheng, 1996).
    constexpr std::int64_t virtualCost = 1'000'000'000;

    // The wait can grow while a new entry moves up in the queue, so the estimate is above the wait of the first entry.
    constexpr int waitEstimatePercent = 125;

    auto costOf(const QueueEntry& entry) -> std::int64_t
    {
        return virtualCost / std::clamp<std::int64_t>(entry.weight_, 1, virtualCost);
    }
}

FairQueue::FairQueue(const QueueBounds& bounds)
    : bounds_(bounds)
{
}

auto FairQueue::longestFlow() -> Flow&
{
    const auto shorter = [](const auto& a, const auto& b) { return a.second.entries_.size() < b.second.entries_.size(); };
    return std::max_element(flows_.begin(), flows_.end(), shorter)->second;
}

auto FairQueue::expectedWait(const std::string& workspace, MonotonicTime now) const -> Duration
{
    const auto found = flows_.find(workspace);
    if (found == flows_.end() || found->second.entries_.empty())
        return Duration { 0 };
    return (now - found->second.entries_.front().arrival_) * waitEstimatePercent / 100;
}

auto FairQueue::push(const QueueEntry& entry) -> Result<std::optional<QueueEntry>, QueueErrorKind>
{
    if (entry.arrival_ + expectedWait(entry.workspace_, entry.arrival_) > entry.expiry_)
        return QueueErrorKind::WouldExpire;
    const auto found = flows_.find(entry.workspace_);
    const auto held = found == flows_.end() ? 0 : found->second.entries_.size();
    if (held >= bounds_.perWorkspace_)
        return QueueErrorKind::WorkspaceFull;
    std::optional<QueueEntry> dropped;
    if (size_ >= bounds_.total_) {
        if (flows_.empty() || longestFlow().entries_.size() <= held + 1)
            return QueueErrorKind::QueueFull;
        // Drops the newest entry, which has waited the shortest time.
        auto& longest = longestFlow();
        dropped = longest.entries_.back();
        longest.entries_.pop_back();
        --size_;
    }
    auto& flow = flows_[entry.workspace_];
    // A workspace that was idle starts at the current virtual time and earns no credit for the idle time.
    if (flow.entries_.empty())
        flow.start_ = std::max(flow.start_, virtualTime_);
    flow.entries_.push_back(entry);
    ++size_;
    return dropped;
}

auto FairQueue::putBack(const QueueEntry& entry) -> void
{
    auto& flow = flows_[entry.workspace_];
    flow.start_ -= costOf(entry);
    flow.entries_.push_front(entry);
    ++size_;
}

auto FairQueue::pop() -> std::optional<QueueEntry>
{
    auto next = flows_.end();
    for (auto flow = flows_.begin(); flow != flows_.end();) {
        const bool idle = flow->second.entries_.empty();
        if (idle && flow->second.start_ <= virtualTime_) {
            flow = flows_.erase(flow);
            continue;
        }
        if (!idle && (next == flows_.end() || flow->second.start_ < next->second.start_))
            next = flow;
        ++flow;
    }
    if (next == flows_.end())
        return std::nullopt;
    auto& flow = next->second;
    const auto entry = flow.entries_.front();
    flow.entries_.pop_front();
    virtualTime_ = std::max(virtualTime_, flow.start_);
    flow.start_ += costOf(entry);
    --size_;
    return entry;
}

auto FairQueue::removeExpired(MonotonicTime now) -> std::vector<QueueEntry>
{
    std::vector<QueueEntry> expired;
    for (auto& [workspace, flow] : flows_) {
        const auto isOver = [now](const QueueEntry& entry) { return entry.expiry_ <= now; };
        std::copy_if(flow.entries_.begin(), flow.entries_.end(), std::back_inserter(expired), isOver);
        std::erase_if(flow.entries_, isOver);
    }
    size_ -= expired.size();
    return expired;
}

} // namespace sapphirepass

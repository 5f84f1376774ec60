#include "admission/fair_queue.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Virtual time that one request of weight 1 takes. Start-time fair queueing (Goyal, Vin and Cheng, 1996).
    constexpr std::int64_t virtualCost = 1'000'000'000;

    // The wait grows while a new entry moves up, so it is estimated above what the first entry has waited.
    constexpr int estimatePercent = 125;

    auto costOf(const QueueEntry& entry) -> std::int64_t
    {
        return virtualCost / std::clamp<std::int64_t>(entry.weight_, 1, virtualCost);
    }
}

FairQueue::FairQueue(const QueueBounds& bounds)
    : bounds_(bounds)
{
}

auto FairQueue::longestLane() -> Lane&
{
    const auto shorter = [](const auto& a, const auto& b) { return a.second.entries_.size() < b.second.entries_.size(); };
    return std::max_element(lanes_.begin(), lanes_.end(), shorter)->second;
}

auto FairQueue::expectedWait(const std::string& workspace, MonotonicTime now) const -> Duration
{
    const auto found = lanes_.find(workspace);
    if (found == lanes_.end() || found->second.entries_.empty())
        return Duration { 0 };
    return (now - found->second.entries_.front().arrival_) * estimatePercent / 100;
}

auto FairQueue::push(const QueueEntry& entry) -> Result<std::optional<QueueEntry>, QueueErrorKind>
{
    if (entry.arrival_ + expectedWait(entry.workspace_, entry.arrival_) > entry.expiry_)
        return QueueErrorKind::TooSlow;
    const auto found = lanes_.find(entry.workspace_);
    const auto held = found == lanes_.end() ? 0 : found->second.entries_.size();
    if (held >= bounds_.perWorkspace_)
        return QueueErrorKind::WorkspaceFull;
    std::optional<QueueEntry> dropped;
    if (size_ >= bounds_.total_) {
        if (lanes_.empty() || longestLane().entries_.size() <= held + 1)
            return QueueErrorKind::QueueFull;
        // The newest entry has waited least.
        auto& longest = longestLane();
        dropped = longest.entries_.back();
        longest.entries_.pop_back();
        --size_;
    }
    auto& lane = lanes_[entry.workspace_];
    // A workspace that comes back after a pause starts at the present and gets no credit for the pause.
    if (lane.entries_.empty())
        lane.start_ = std::max(lane.start_, virtualTime_);
    lane.entries_.push_back(entry);
    ++size_;
    return dropped;
}

auto FairQueue::putBack(const QueueEntry& entry) -> void
{
    auto& lane = lanes_[entry.workspace_];
    lane.start_ -= costOf(entry);
    lane.entries_.push_front(entry);
    ++size_;
}

auto FairQueue::pop() -> std::optional<QueueEntry>
{
    auto next = lanes_.end();
    for (auto lane = lanes_.begin(); lane != lanes_.end();) {
        const bool idle = lane->second.entries_.empty();
        if (idle && lane->second.start_ <= virtualTime_) {
            lane = lanes_.erase(lane);
            continue;
        }
        if (!idle && (next == lanes_.end() || lane->second.start_ < next->second.start_))
            next = lane;
        ++lane;
    }
    if (next == lanes_.end())
        return std::nullopt;
    auto& lane = next->second;
    const auto entry = lane.entries_.front();
    lane.entries_.pop_front();
    virtualTime_ = std::max(virtualTime_, lane.start_);
    lane.start_ += costOf(entry);
    --size_;
    return entry;
}

auto FairQueue::expire(MonotonicTime now) -> std::vector<QueueEntry>
{
    std::vector<QueueEntry> expired;
    for (auto& [workspace, lane] : lanes_) {
        const auto isOver = [now](const QueueEntry& entry) { return entry.expiry_ <= now; };
        std::copy_if(lane.entries_.begin(), lane.entries_.end(), std::back_inserter(expired), isOver);
        std::erase_if(lane.entries_, isOver);
    }
    size_ -= expired.size();
    return expired;
}

} // namespace sapphirepass

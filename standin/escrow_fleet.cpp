#include "standin/escrow_fleet.h"

#include "admission/escrow_wire.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass::standin {

namespace {
    constexpr std::int64_t nanosPerSecond = 1'000'000'000;
    constexpr Duration syncInterval = std::chrono::seconds(5);
    constexpr Duration eagerSyncInterval = std::chrono::milliseconds(500);
}

WindowCheck::WindowCheck(const BudgetTotal& total)
    : total_(total)
{
}

auto WindowCheck::admit(MonotonicTime now) -> bool
{
    const auto drained = static_cast<__int128>(total_.rate_) * (now - last_).count();
    excess_ = std::max<__int128>(0, excess_ - drained) + nanosPerSecond;
    last_ = now;
    return excess_ <= static_cast<__int128>(total_.burst_) * nanosPerSecond;
}

EscrowFleet::EscrowFleet(std::uint64_t seed, BudgetTotals totals)
    : random_(seed)
    , totals_(std::move(totals))
{
}

auto EscrowFleet::start(std::size_t index) -> void
{
    if (nodes_.size() <= index)
        nodes_.resize(index + 1);
    auto& node = nodes_[index];
    node = Node {};
    const auto name = fmt::format("e{}", index);
    indexes_[name] = index;
    // Numbers of lives grow by one, so those of processes stay far apart.
    node.holder_ = std::make_unique<EscrowHolder>(HolderId { name, nextNumber_ += 1'000 }, now_);
    node.holder_->setTotals(totals_, now_);
    node.nextTick_ = now_ + Duration(std::uniform_int_distribution<std::int64_t>(0, escrowTickInterval.count())(random_));
    node.nextSync_ = node.nextTick_;
}

auto EscrowFleet::crash(std::size_t index) -> void
{
    nodes_[index] = Node {};
}

auto EscrowFleet::leave(std::size_t index) -> void
{
    if (nodes_[index].holder_)
        nodes_[index].holder_->leave();
}

auto EscrowFleet::setDelay(Duration least, Duration most) -> void
{
    leastDelay_ = least;
    mostDelay_ = most;
}

auto EscrowFleet::setTotals(const BudgetTotals& totals) -> void
{
    totals_ = totals;
    for (auto& node : nodes_) {
        if (node.holder_)
            node.holder_->setTotals(totals_, now_);
    }
}

auto EscrowFleet::chance(int percent) -> bool
{
    return percent > 0 && std::uniform_int_distribution(0, 99)(random_) < percent;
}

auto EscrowFleet::findNode(const std::string& name) -> Node*
{
    const auto found = indexes_.find(name);
    return found == indexes_.end() || !nodes_[found->second].holder_ ? nullptr : &nodes_[found->second];
}

auto EscrowFleet::post(const EscrowMessage& message) -> void
{
    const auto delay = [this] { return Duration(std::uniform_int_distribution<std::int64_t>(leastDelay_.count(), mostDelay_.count())(random_)); };
    ++traffic_.messages_;
    traffic_.bytes_ += encodeEscrowMessage(message).size();
    if (chance(faults_.lost_))
        return;
    travelling_.push({ now_ + delay(), ++order_, message });
    if (chance(faults_.doubled_))
        travelling_.push({ now_ + 3 * delay(), ++order_, message });
    if (chance(faults_.reordered_))
        travelling_.push({ now_ + 100 * delay(), ++order_, message });
}

auto EscrowFleet::flush(Node& node) -> void
{
    for (const auto& message : node.holder_->takeOutgoing()) {
        if (!node.cut_)
            post(message);
    }
}

auto EscrowFleet::deliverDue() -> void
{
    while (!travelling_.empty() && travelling_.top().due_ <= now_) {
        const auto message = travelling_.top().message_;
        travelling_.pop();
        auto* node = findNode(message.to_.name_);
        if (node == nullptr || node->cut_)
            continue;
        if (node->paused_) {
            node->inbox_.push_back(message);
            continue;
        }
        node->holder_->receive(message, now_);
        if (message.kind_ == EscrowMessageKind::NewEpoch)
            node->nextSync_ = std::min(node->nextSync_, now_);
        flush(*node);
    }
}

auto EscrowFleet::delayRead(std::size_t index) -> void
{
    if (record_ && !outage_ && !nodes_[index].cut_)
        nodes_[index].delayedRead_ = { now_, *record_ };
}

auto EscrowFleet::sync(Node& node) -> void
{
    if (outage_ || node.cut_)
        return;
    ++traffic_.storeCalls_;
    if (record_)
        node.holder_->observe(*record_, now_, now_);
    else
        node.holder_->observeAbsent();
    const auto wanted = node.holder_->proposedRecord(now_);
    if (!wanted)
        return;
    ++traffic_.storeCalls_;
    record_ = wanted;
    // The answer may be lost; the next read shows the outcome.
    if (!chance(faults_.lost_))
        node.holder_->observe(*record_, now_, now_);
}

auto EscrowFleet::run(std::size_t index) -> void
{
    auto& node = nodes_[index];
    if (!node.holder_ || node.paused_)
        return;
    for (const auto& message : std::exchange(node.inbox_, {}))
        node.holder_->receive(message, now_);
    if (node.delayedRead_ && chance(20)) {
        node.holder_->observe(node.delayedRead_->second, node.delayedRead_->first, now_);
        node.delayedRead_.reset();
    }
    if (node.nextTick_ <= now_) {
        node.holder_->tick(now_);
        node.nextTick_ = now_ + escrowTickInterval;
    }
    if (node.nextSync_ <= now_) {
        const auto before = node.holder_->membership().record();
        sync(node);
        const bool eager = !node.holder_->membership().holdsLease(now_) || !node.holder_->membership().record().complete_ || node.holder_->membership().record() != before;
        node.nextSync_ = now_ + (eager ? eagerSyncInterval : syncInterval);
    }
    flush(node);
}

auto EscrowFleet::advance(Duration step) -> void
{
    const auto end = now_ + step;
    while (now_ < end) {
        now_ = std::min(now_ + grain_, end);
        deliverDue();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            run(i);
    }
}

auto EscrowFleet::request(std::size_t index, const BudgetId& id) -> bool
{
    if (!isRunning(index))
        return false;
    auto& node = nodes_[index];
    const bool admitted = node.holder_->trySpend(id, 1, now_);
    flush(node);
    return admitted;
}

} // namespace sapphirepass::standin

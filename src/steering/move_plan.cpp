#include "steering/move_plan.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr double fullShare = 100;
}

auto holdReasonName(HoldReason reason) -> std::string_view
{
    switch (reason) {
    case HoldReason::None:
        return "none";
    case HoldReason::NotRunning:
        return "not-running";
    case HoldReason::Ramping:
        return "ramping";
    case HoldReason::Cap:
        return "cap";
    case HoldReason::TargetShort:
        return "target-short";
    case HoldReason::NoRoom:
        return "no-room";
    }
    return "none";
}

auto MovePlan::applySnapshot(const Snapshot& snapshot, MonotonicTime now) -> void
{
    std::erase_if(ramps_, [&](const auto& entry) { return snapshot.find<Move>(entry.first) == nullptr; });
    snapshot.table<Move>().forEach([&](const Move& move) {
        auto& ramp = ramps_[move.name_];
        if (move.state_ == MoveState::Planned) {
            ramp = {};
            return;
        }
        if (move.state_ == MoveState::Running && !ramp.startedAt_) {
            ramp.startedAt_ = now;
        } else if (move.state_ == MoveState::Paused && ramp.startedAt_) {
            ramp.elapsedBeforeStart_ += now - *ramp.startedAt_;
            ramp.startedAt_.reset();
        }
    });
}

// In percent.
auto MovePlan::targetShare(const Move& move, const RampState& ramp, MonotonicTime now) -> double
{
    if (move.state_ != MoveState::Running)
        return 0;
    const auto elapsed = ramp.elapsedBeforeStart_ + (ramp.startedAt_ ? now - *ramp.startedAt_ : Duration { 0 });
    const auto share = static_cast<double>(move.share_);
    if (elapsed >= move.ramp_)
        return share;
    return share * (std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(move.ramp_));
}

// Moves of one service from one region get their shares in the order of their names, until together they
// have all its requests.
auto MovePlan::selectDueMove(const Snapshot& snapshot, const std::string& service, MonotonicTime now) -> const Move*
{
    const Move* due = nullptr;
    double remaining = fullShare;
    snapshot.table<Move>().forEach([&](const Move& move) {
        if (move.service_ != service || move.from_ != region_)
            return;
        auto& ramp = ramps_[move.name_];
        const auto share = std::min(remaining, targetShare(move, ramp, now));
        remaining -= share;
        ++ramp.seen_;
        ramp.dueRequests_ += share / fullShare;
        if (due == nullptr && ramp.dueRequests_ >= 1) {
            ramp.dueRequests_ -= 1;
            due = &move;
        }
    });
    return due;
}

auto MovePlan::trySpendCap(const Move& move) -> bool
{
    if (budgets_.trySpend({ BudgetKind::MoveCap, move.name_ }, 1))
        return true;
    recordHeld(move, HoldReason::Cap);
    return false;
}

auto MovePlan::recordMoved(const Move& move) -> void
{
    auto& ramp = ramps_[move.name_];
    ++ramp.moved_;
    ramp.holdReason_ = HoldReason::None;
}

auto MovePlan::recordHeld(const Move& move, HoldReason reason) -> void
{
    auto& ramp = ramps_[move.name_];
    ++ramp.held_;
    ramp.holdReason_ = reason;
}

auto MovePlan::progress(const Snapshot& snapshot, MonotonicTime now) const -> std::vector<MoveProgress>
{
    std::vector<MoveProgress> rows;
    snapshot.table<Move>().forEach([&](const Move& move) {
        const auto found = ramps_.find(move.name_);
        const auto ramp = found == ramps_.end() ? RampState {} : found->second;
        const auto share = targetShare(move, ramp, now);
        auto reason = ramp.holdReason_;
        if (move.state_ != MoveState::Running)
            reason = HoldReason::NotRunning;
        else if (reason == HoldReason::None && share < static_cast<double>(move.share_))
            reason = HoldReason::Ramping;
        rows.push_back({ move.name_, move.state_, share, ramp.seen_, ramp.moved_, ramp.held_, reason });
    });
    return rows;
}

} // namespace sapphirepass

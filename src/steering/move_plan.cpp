#include "steering/move_plan.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr double wholePercent = 100;
}

auto moveHoldName(MoveHold hold) -> std::string_view
{
    switch (hold) {
    case MoveHold::None:
        return "none";
    case MoveHold::NotRunning:
        return "not-running";
    case MoveHold::Ramping:
        return "ramping";
    case MoveHold::Cap:
        return "cap";
    case MoveHold::TargetShort:
        return "target-short";
    case MoveHold::NoRoom:
        return "no-room";
    }
    return "none";
}

auto MovePlan::follow(const Snapshot& snapshot, MonotonicTime now) -> void
{
    std::erase_if(running_, [&](const auto& entry) { return snapshot.find<Move>(entry.first) == nullptr; });
    snapshot.table<Move>().forEach([&](const Move& move) {
        auto& running = running_[move.name_];
        if (move.state_ == MoveState::Planned) {
            running = {};
            return;
        }
        if (move.state_ == MoveState::Running && !running.since_) {
            running.since_ = now;
        } else if (move.state_ == MoveState::Paused && running.since_) {
            running.ranBefore_ += now - *running.since_;
            running.since_.reset();
        }
    });
}

// Percent.
auto MovePlan::wantedShare(const Move& move, const Running& running, MonotonicTime now) -> double
{
    if (move.state_ != MoveState::Running)
        return 0;
    const auto ran = running.ranBefore_ + (running.since_ ? now - *running.since_ : Duration { 0 });
    const auto share = static_cast<double>(move.share_);
    if (ran >= move.ramp_)
        return share;
    return share * (std::chrono::duration<double>(ran) / std::chrono::duration<double>(move.ramp_));
}

// Moves of one service from one region share its requests in the order of their names; together they
// take no more than all of them.
auto MovePlan::nextDue(const Snapshot& snapshot, const std::string& service, MonotonicTime now) -> const Move*
{
    const Move* due = nullptr;
    double left = wholePercent;
    snapshot.table<Move>().forEach([&](const Move& move) {
        if (move.service_ != service || move.from_ != region_)
            return;
        auto& running = running_[move.name_];
        const auto share = std::min(left, wantedShare(move, running, now));
        left -= share;
        ++running.seen_;
        running.due_ += share / wholePercent;
        if (due == nullptr && running.due_ >= 1) {
            running.due_ -= 1;
            due = &move;
        }
    });
    return due;
}

auto MovePlan::trySpendCap(const Move& move) -> bool
{
    if (budgets_.trySpend({ BudgetKind::MoveCap, move.name_ }, 1))
        return true;
    noteHeld(move, MoveHold::Cap);
    return false;
}

auto MovePlan::noteMoved(const Move& move) -> void
{
    auto& running = running_[move.name_];
    ++running.moved_;
    running.hold_ = MoveHold::None;
}

auto MovePlan::noteHeld(const Move& move, MoveHold hold) -> void
{
    auto& running = running_[move.name_];
    ++running.held_;
    running.hold_ = hold;
}

auto MovePlan::progress(const Snapshot& snapshot, MonotonicTime now) const -> std::vector<MoveProgress>
{
    std::vector<MoveProgress> rows;
    snapshot.table<Move>().forEach([&](const Move& move) {
        const auto found = running_.find(move.name_);
        const auto running = found == running_.end() ? Running {} : found->second;
        const auto share = wantedShare(move, running, now);
        auto hold = running.hold_;
        if (move.state_ != MoveState::Running)
            hold = MoveHold::NotRunning;
        else if (hold == MoveHold::None && share < static_cast<double>(move.share_))
            hold = MoveHold::Ramping;
        rows.push_back({ move.name_, move.state_, share, running.seen_, running.moved_, running.held_, hold });
    });
    return rows;
}

} // namespace sapphirepass

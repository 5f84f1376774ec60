#include "config/config_state.h"

#include "base/event_log.h"
#include "base/texts.h"
#include "config/command_func.h"
#include "language/command_parser.h"

#include <fmt/format.h>

namespace sapphirepass {

auto applyLogEntry(const Snapshot& snapshot, const LogEntry& entry) -> Result<Snapshot, ApplyError>
{
    const auto batch = parseBatch(entry.text_);
    if (!isOk(batch))
        return ApplyError { ApplyErrorKind::UnknownCommand, errorOf(batch).message_ };
    auto applied = applyBatch(snapshot, valueOf(batch));
    if (!isOk(applied))
        return ApplyError { ApplyErrorKind::UnknownCommand, errorOf(applied).message_ };
    const auto& next = valueOf(applied);
    if (entry.stateHash_ != 0 && entry.stateHash_ != next.stateHash())
        return ApplyError { ApplyErrorKind::Diverged, fmt::format(texts::stateDiverged, next.revision(), next.stateHash(), entry.stateHash_) };
    return valueOf(std::move(applied));
}

namespace {
    auto logFailure(Revision revision, const ApplyError& error) -> void
    {
        const auto event = error.kind_ == ApplyErrorKind::Diverged ? EventId::StateDiverged : EventId::LogCommandUnknown;
        logEvent(event, "revision={} message=\"{}\"", revision, error.message_);
    }

    auto staleError(Revision offered, Revision current) -> ApplyError
    {
        logEvent(EventId::StaleRevisionIgnored, "offered={} in_force={}", offered, current);
        return { ApplyErrorKind::Stale, fmt::format(texts::revisionStale, offered, current) };
    }

    auto divergedError(const Snapshot& here, std::uint64_t there) -> ApplyError
    {
        ApplyError error { ApplyErrorKind::Diverged, fmt::format(texts::stateDiverged, here.revision(), here.stateHash(), there) };
        logFailure(here.revision(), error);
        return error;
    }
}

auto ConfigState::snapshot() const -> std::shared_ptr<const Snapshot>
{
    const std::lock_guard lock(mutex_);
    return snapshot_;
}

auto ConfigState::apply(const LogHead& head) -> Result<Revision, ApplyError>
{
    const std::lock_guard lock(mutex_);
    const auto current = snapshot_->revision();
    if (head.revision_ < current)
        return staleError(head.revision_, current);
    const auto beforeFirst = head.revision_ - static_cast<Revision>(head.entries_.size());
    if (beforeFirst > current)
        return ApplyError { ApplyErrorKind::Gap, fmt::format(texts::logStartsLater, beforeFirst + 1, current) };
    // Applied as a whole: readers never see a revision between the two.
    auto next = *snapshot_;
    for (const auto& entry : head.entries_) {
        if (entry.revision_ <= current)
            continue;
        auto applied = applyLogEntry(next, entry);
        if (!isOk(applied)) {
            logFailure(entry.revision_, errorOf(applied));
            return errorOf(applied);
        }
        next = valueOf(std::move(applied));
    }
    if (next.revision() != current) {
        snapshot_ = std::make_shared<const Snapshot>(std::move(next));
        logEvent(EventId::RevisionApplied, "revision={} state_hash={:016x}", snapshot_->revision(), snapshot_->stateHash());
    }
    return snapshot_->revision();
}

auto ConfigState::install(const Snapshot& snapshot) -> Result<Revision, ApplyError>
{
    const std::lock_guard lock(mutex_);
    const auto current = snapshot_->revision();
    if (snapshot.revision() < current)
        return staleError(snapshot.revision(), current);
    if (snapshot.revision() == current && snapshot.stateHash() != snapshot_->stateHash())
        return divergedError(*snapshot_, snapshot.stateHash());
    if (snapshot.revision() > current) {
        snapshot_ = std::make_shared<const Snapshot>(snapshot);
        logEvent(EventId::RevisionApplied, "revision={} state_hash={:016x}", snapshot_->revision(), snapshot_->stateHash());
    }
    return snapshot_->revision();
}

} // namespace sapphirepass

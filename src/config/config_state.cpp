#include "config/config_state.h"

#include "base/event_log.h"
#include "config/command_func.h"
#include "language/command_reader.h"

#include <fmt/format.h>

namespace sapphirepass {

auto applyLogEntry(const Snapshot& snapshot, const LogEntry& entry) -> Result<Snapshot, ApplyError>
{
    const auto batch = readBatch(entry.text_);
    if (!isOk(batch))
        return ApplyError { ApplyErrorKind::UnknownCommand, errorOf(batch).message_ };
    auto applied = applyBatch(snapshot, valueOf(batch));
    if (!isOk(applied))
        return ApplyError { ApplyErrorKind::UnknownCommand, errorOf(applied).message_ };
    return valueOf(std::move(applied));
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
    if (head.revision_ < current) {
        logEvent(EventId::StaleRevisionIgnored, "offered={} in_force={}", head.revision_, current);
        return ApplyError { ApplyErrorKind::Stale, fmt::format("revision {} is below {}", head.revision_, current) };
    }
    if (!head.entries_.empty() && head.entries_.front().revision_ > current + 1)
        return ApplyError { ApplyErrorKind::Gap, fmt::format("the log starts at revision {}", head.entries_.front().revision_) };
    // Applied as a whole: readers never see a revision between the two.
    auto next = *snapshot_;
    for (const auto& entry : head.entries_) {
        if (entry.revision_ <= current)
            continue;
        auto applied = applyLogEntry(next, entry);
        if (!isOk(applied)) {
            logEvent(EventId::LogCommandUnknown, "revision={} message=\"{}\"", entry.revision_, errorOf(applied).message_);
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

} // namespace sapphirepass

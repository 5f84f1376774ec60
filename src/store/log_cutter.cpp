#include "store/log_cutter.h"

#include "base/event_log.h"
#include "base/texts.h"
#include "store/audit_trail.h"
#include "store/snapshot_store.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Attempts against commands that are accepted meanwhile.
    constexpr int maxRaces = 8;

    auto isTooLong(const LogHead& head, const LogBounds& bounds, std::size_t extraBytes) -> bool
    {
        return needsCut(head, bounds) || (extraBytes > 0 && encodeLogHead(head).size() + extraBytes > maxObjectBytes);
    }

    // How many of the oldest entries go: those that the snapshot covers, but for the newest kept ones.
    auto entriesToCut(const LogHead& head, Revision covered, std::size_t keptBytes) -> std::size_t
    {
        std::size_t kept = 0;
        std::size_t cut = head.entries_.size();
        while (cut > 0) {
            const auto& entry = head.entries_[cut - 1];
            kept += encodeLogEntries({ entry }).size();
            if (entry.revision_ <= covered && kept > keptBytes)
                break;
            --cut;
        }
        return cut;
    }

    auto cutHead(const LogHead& head, const SnapshotReference& snapshot, std::size_t cut, std::size_t mostIds) -> LogHead
    {
        const auto firstKept = head.entries_.begin() + static_cast<std::ptrdiff_t>(cut);
        LogHead result { head.revision_, { firstKept, head.entries_.end() }, snapshot, head.snapshot_, head.cutIds_ };
        for (std::size_t i = 0; i < cut; ++i)
            result.cutIds_.push_back(hashText(head.entries_[i].id_));
        if (result.cutIds_.size() > mostIds)
            result.cutIds_.erase(result.cutIds_.begin(), result.cutIds_.end() - static_cast<std::ptrdiff_t>(mostIds));
        return result;
    }

    // Writes the cut head; commands that were accepted meanwhile stay in it.
    auto replaceHead(ObjectStore& store, StoredHead current, const SnapshotReference& snapshot, const LogBounds& bounds) -> Result<bool, StoreError>
    {
        StoreError last;
        for (int race = 0; race < maxRaces; ++race) {
            if (current.head_.snapshot_.revision_ >= snapshot.revision_)
                return current.head_.snapshot_ == snapshot;
            const auto cut = entriesToCut(current.head_, snapshot.revision_, bounds.keptBytes_);
            const auto& entries = current.head_.entries_;
            const auto archived = archiveEntries(store, { entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(cut) });
            if (!isOk(archived))
                return errorOf(archived);
            const auto next = cutHead(current.head_, snapshot, cut, bounds.cutIds_);
            const auto written = store.write(std::string(headObjectName), encodeLogHead(next), current.version_);
            if (isOk(written))
                return true;
            last = errorOf(written);
            if (last.kind_ != StoreErrorKind::Conflict && last.kind_ != StoreErrorKind::AnswerLost)
                return last;
            auto read = readHead(store);
            if (!isOk(read))
                return errorOf(read);
            current = valueOf(std::move(read));
        }
        return last;
    }
}

auto needsCut(const LogHead& head, const LogBounds& bounds) -> bool
{
    return encodeLogEntries(head.entries_).size() > bounds.cutBytes_;
}

auto cutLog(ObjectStore& store, ConfigState& state, const LogBounds& bounds, std::size_t extraBytes) -> Result<bool, StoreError>
{
    auto read = readHead(store);
    if (!isOk(read))
        return errorOf(read);
    const auto current = valueOf(std::move(read));
    if (!isTooLong(current.head_, bounds, extraBytes))
        return false;
    const auto caughtUp = catchUp(store, state, current.head_);
    if (!isOk(caughtUp))
        return StoreError { StoreErrorKind::Protocol, errorOf(caughtUp).message_ };
    const auto snapshot = state.snapshot();
    if (snapshot->revision() != current.head_.revision_)
        return false;
    const auto reference = writeSnapshot(store, *snapshot, bounds.chunkBytes_);
    if (!isOk(reference))
        return errorOf(reference);
    auto replaced = replaceHead(store, current, valueOf(reference), bounds);
    if (!isOk(replaced) || !valueOf(replaced))
        return replaced;
    logEvent(EventId::LogCut, "revision={} chunks={}", snapshot->revision(), valueOf(reference).chunkDigests_.size());
    // The snapshot that the head named until now stays for those that are just reading it.
    const auto removed = removeSnapshotsBelow(store, current.head_.snapshot_.revision_);
    if (!isOk(removed))
        return errorOf(removed);
    return true;
}

} // namespace sapphirepass

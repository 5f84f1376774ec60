#include "store/snapshot_store.h"

#include "base/digest.h"
#include "base/event_log.h"
#include "base/field.h"
#include "base/texts.h"
#include "config/snapshot_codec.h"
#include "store/audit_trail.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    auto chunkName(Revision revision, std::size_t chunk) -> std::string
    {
        return fmt::format("{}{}/{}", snapshotPrefix, revision, chunk);
    }

    // The revision in a chunk's name; nothing for other objects.
    auto revisionOf(std::string_view name) -> std::optional<Revision>
    {
        name.remove_prefix(snapshotPrefix.size());
        return parseNumber(name.substr(0, name.find('/')), {});
    }

    // Another instance may have written the same chunk before.
    auto writeChunk(ObjectStore& store, const std::string& name, const std::string& value) -> Result<Done, StoreError>
    {
        const auto written = store.write(name, value, absentVersion);
        if (isOk(written))
            return Done {};
        if (errorOf(written).kind_ != StoreErrorKind::Conflict && errorOf(written).kind_ != StoreErrorKind::AnswerLost)
            return errorOf(written);
        const auto present = store.read(name);
        if (!isOk(present))
            return errorOf(present);
        if (valueOf(present).value_ != value)
            return StoreError { StoreErrorKind::Conflict, fmt::format(texts::chunkDiffers, name) };
        return Done {};
    }

    auto readChunk(ObjectStore& store, const std::string& name, const std::string& digest) -> Result<std::string, StoreError>
    {
        auto object = store.read(name);
        if (!isOk(object))
            return StoreError { errorOf(object).kind_, fmt::format("{}: {}", name, errorOf(object).message_) };
        if (sha256Hex(valueOf(object).value_) != digest)
            return StoreError { StoreErrorKind::Protocol, fmt::format(texts::chunkDamaged, name) };
        return std::move(valueOf(std::move(object)).value_);
    }
}

auto writeSnapshot(ObjectStore& store, const Snapshot& snapshot, std::size_t chunkBytes) -> Result<SnapshotReference, StoreError>
{
    const auto text = encodeSnapshot(snapshot);
    SnapshotReference reference { snapshot.revision(), snapshot.stateHash(), {} };
    for (std::size_t at = 0; at < text.size(); at += chunkBytes) {
        const auto chunk = text.substr(at, chunkBytes);
        const auto written = writeChunk(store, chunkName(snapshot.revision(), reference.chunkDigests_.size()), chunk);
        if (!isOk(written))
            return errorOf(written);
        reference.chunkDigests_.push_back(sha256Hex(chunk));
    }
    return reference;
}

auto loadSnapshot(ObjectStore& store, const SnapshotReference& reference) -> Result<Snapshot, StoreError>
{
    std::string text;
    for (std::size_t i = 0; i < reference.chunkDigests_.size(); ++i) {
        const auto chunk = readChunk(store, chunkName(reference.revision_, i), reference.chunkDigests_[i]);
        if (!isOk(chunk))
            return errorOf(chunk);
        text += valueOf(chunk);
    }
    auto snapshot = decodeSnapshot(text);
    if (!isOk(snapshot))
        return StoreError { StoreErrorKind::Protocol, errorOf(snapshot).message_ };
    if (valueOf(snapshot).revision() != reference.revision_ || valueOf(snapshot).stateHash() != reference.stateHash_)
        return StoreError { StoreErrorKind::Protocol, std::string(texts::snapshotHashWrong) };
    return valueOf(std::move(snapshot));
}

auto removeSnapshotsBelow(ObjectStore& store, Revision revision) -> Result<Done, StoreError>
{
    const auto names = store.list(std::string(snapshotPrefix));
    if (!isOk(names))
        return errorOf(names);
    for (const auto& name : valueOf(names)) {
        const auto found = revisionOf(name);
        if (!found || *found >= revision)
            continue;
        const auto object = store.read(name);
        if (!isOk(object))
            return errorOf(object);
        const auto removed = store.remove(name, valueOf(object).version_);
        if (!isOk(removed))
            return errorOf(removed);
    }
    return Done {};
}

namespace {
    // Pages between two snapshots; cuts that were broken off may have left several.
    constexpr std::size_t pagesBetweenSnapshots = 8;

    auto installFrom(ObjectStore& store, ConfigState& state, const SnapshotReference& reference) -> Result<Revision, ApplyError>
    {
        const auto snapshot = loadSnapshot(store, reference);
        if (!isOk(snapshot)) {
            logEvent(EventId::SnapshotUnreadable, "revision={} message=\"{}\"", reference.revision_, errorOf(snapshot).message_);
            return ApplyError { ApplyErrorKind::Gap, errorOf(snapshot).message_ };
        }
        return state.install(valueOf(snapshot));
    }

    // Applies the entries that were cut off since this instance's revision, from the pages of the audit trail.
    auto applyArchived(ObjectStore& store, ConfigState& state, Revision upTo) -> Result<Revision, ApplyError>
    {
        auto entries = readAccepted(store, upTo, pagesBetweenSnapshots);
        if (!isOk(entries))
            return ApplyError { ApplyErrorKind::Gap, errorOf(entries).message_ };
        LogHead archived;
        for (const auto& entry : valueOf(entries)) {
            if (entry.revision_ > state.snapshot()->revision())
                archived.entries_.push_back(entry);
        }
        archived.revision_ = upTo;
        return state.apply(archived);
    }
}

auto catchUp(ObjectStore& store, ConfigState& state, const LogHead& head) -> Result<Revision, ApplyError>
{
    auto applied = state.apply(head);
    if (isOk(applied) || errorOf(applied).kind_ != ApplyErrorKind::Gap || head.snapshot_.revision_ == 0)
        return applied;
    auto installed = installFrom(store, state, head.snapshot_);
    if (isOk(installed) || errorOf(installed).kind_ != ApplyErrorKind::Gap)
        return state.apply(head);
    const auto previous = installFrom(store, state, head.previous_);
    if (!isOk(previous) && errorOf(previous).kind_ == ApplyErrorKind::Gap)
        return installed;
    const auto beforeFirst = head.revision_ - static_cast<Revision>(head.entries_.size());
    const auto archived = applyArchived(store, state, beforeFirst);
    return isOk(archived) ? state.apply(head) : installed;
}

} // namespace sapphirepass

// Snapshots in the store: objects config/snapshot/REVISION/N, each at most a chunk long. A chunk is never overwritten.
#pragma once

#include "config/config_state.h"
#include "store/object_store.h"

namespace sapphirepass {

inline constexpr std::string_view snapshotPrefix = "config/snapshot/";

// Writes the chunks of a snapshot; those that are there already are kept if they are equal.
auto writeSnapshot(ObjectStore& store, const Snapshot& snapshot, std::size_t chunkBytes) -> Result<SnapshotReference, StoreError>;
// Reads a snapshot back. A missing or damaged chunk is a Protocol or NotFound error that names it.
auto loadSnapshot(ObjectStore& store, const SnapshotReference& reference) -> Result<Snapshot, StoreError>;
// Removes the chunks of all revisions below the given one, as far as the store answers.
auto removeSnapshotsBelow(ObjectStore& store, Revision revision) -> Result<Done, StoreError>;

// Applies the head; loads its snapshot first if this instance is behind the first entry, or, if that cannot be
// read, the one before and what the audit trail holds since.
auto catchUp(ObjectStore& store, ConfigState& state, const LogHead& head) -> Result<Revision, ApplyError>;

} // namespace sapphirepass

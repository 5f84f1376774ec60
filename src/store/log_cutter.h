// Cuts the command log: snapshot chunks, then pages of the audit trail, then one conditional update of the head,
// then the removal of older snapshots. A crash between any two of these loses nothing.
#pragma once

#include "config/config_state.h"
#include "store/log_head.h"
#include "store/object_store.h"

namespace sapphirepass {

struct LogBounds {
    // Entries longer than this are cut. Each watcher reads the head once a change.
    std::size_t cutBytes_ = std::size_t { 24 } * 1024;
    // Newest entries that stay in the head, so that instances a little behind need no snapshot.
    std::size_t keptBytes_ = std::size_t { 8 } * 1024;
    // Ids of cut commands that are remembered, to recognise repeats.
    std::size_t cutIds_ = 512;
    // Most bytes of one chunk of a snapshot.
    std::size_t chunkBytes_ = maxObjectBytes;
};

// Whether the entries in the head are longer than the bound.
auto needsCut(const LogHead& head, const LogBounds& bounds) -> bool;
// Cuts if the entries are longer than the bound or the head does not take extraBytes more. The state must be able to follow the
// head. Returns whether the log was cut; an error means that the log is as it was or was cut.
auto cutLog(ObjectStore& store, ConfigState& state, const LogBounds& bounds, std::size_t extraBytes = 0) -> Result<bool, StoreError>;

} // namespace sapphirepass

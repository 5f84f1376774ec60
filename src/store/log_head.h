// Reads the head object of the command log.
#pragma once

#include "config/log_type.h"
#include "store/object_store.h"

namespace sapphirepass {

// Name of the head object of the command log.
inline constexpr std::string_view headObjectName = "config/head";

struct StoredHead {
    LogHead head_;
    ObjectVersion version_ = absentVersion;

    auto operator<=>(const StoredHead&) const = default;
};

// An absent object is an empty log; one that cannot be decoded is a Protocol error.
auto readHead(ObjectStore& store) -> Result<StoredHead, StoreError>;
// Revision of the accepted command with that id, also if its entry was cut off a while ago; 0 if there is none.
auto findCommandId(const LogHead& head, const std::string& id) -> Revision;
// The entry of that revision, or null if it was cut off.
auto findEntry(const LogHead& head, Revision revision) -> const LogEntry*;

} // namespace sapphirepass

// The audit trail in the store. Accepted commands stand in the log's head first; a cut moves them to pages
// audit/accepted/GROUP/REVISION. The last refused commands stand in one bounded object.
#pragma once

#include "config/log_type.h"
#include "store/object_store.h"

#include <cstddef>
#include <string>
#include <vector>

namespace sapphirepass {

inline constexpr std::string_view auditPagePrefix = "audit/accepted/";
inline constexpr std::string_view refusedObjectName = "audit/refused";

// A command that was refused, at the revision that it was tested against.
struct RefusedCommand {
    LogEntry entry_;
    std::string reason_;

    auto operator<=>(const RefusedCommand&) const = default;
};

// Writes pages that hold the entries, which must be consecutive. Done means that each of them is in a page.
auto archiveEntries(ObjectStore& store, std::vector<LogEntry> entries) -> Result<Done, StoreError>;
// Adds a refused command and drops the oldest ones beyond the bound.
auto recordRefused(ObjectStore& store, const RefusedCommand& refused) -> Result<Done, StoreError>;
auto readRefused(ObjectStore& store) -> Result<std::vector<RefusedCommand>, StoreError>;
// The accepted commands up to a revision from the newest pages, at most so many pages, and from the head; ascending.
auto readAccepted(ObjectStore& store, Revision upTo, std::size_t mostPages) -> Result<std::vector<LogEntry>, StoreError>;
// The text of a batch without the salts and hashes of keys.
auto redactText(const std::string& text) -> std::string;

} // namespace sapphirepass

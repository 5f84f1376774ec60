// The totally ordered command log, as it is kept in the store's head object.
#pragma once

#include "base/result.h"
#include "config/snapshot.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

// One accepted batch of commands.
struct LogEntry {
    Revision revision_ = 0;
    // Chosen by the client; tells a repeated command from a new one.
    std::string id_;
    std::string who_;
    // Address that the command came from.
    std::string from_;
    std::string at_;
    // Canonical text of the batch.
    std::string text_;
    // State hash of the configuration after the batch; 0 if it was not recorded.
    std::uint64_t stateHash_ = 0;

    auto operator<=>(const LogEntry&) const = default;
};

// Names a snapshot that is kept in the store in chunks.
struct SnapshotReference {
    // 0 if there is no snapshot.
    Revision revision_ = 0;
    std::uint64_t stateHash_ = 0;
    // SHA-256 of each chunk, in hexadecimal digits.
    std::vector<std::string> chunkDigests_;

    auto operator<=>(const SnapshotReference&) const = default;
};

struct LogHead {
    // Revision of the last entry; 0 for an empty log.
    Revision revision_ = 0;
    // Consecutive revisions, the last one equal to revision_.
    std::vector<LogEntry> entries_;
    // Holds what the entries that were cut off led to.
    SnapshotReference snapshot_ {};
    // The snapshot before that one, for when a chunk of it cannot be read.
    SnapshotReference previous_ {};
    // Hashes of the ids of the last commands that were cut off, in the order of their consecutive
    // revisions; the last one stands right before the first entry.
    std::vector<std::uint64_t> cutIds_ {};

    auto operator<=>(const LogHead&) const = default;
};

struct LogDecodeError {
    std::string message_;

    auto operator<=>(const LogDecodeError&) const = default;
};

auto encodeLogHead(const LogHead& head) -> std::string;
// Refuses malformed text, unknown formats and gaps in the revisions.
auto decodeLogHead(std::string_view text) -> Result<LogHead, LogDecodeError>;
auto encodeLogEntries(const std::vector<LogEntry>& entries) -> std::string;
auto decodeLogEntries(std::string_view text) -> Result<std::vector<LogEntry>, LogDecodeError>;

} // namespace sapphirepass

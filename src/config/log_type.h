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

    auto operator<=>(const LogEntry&) const = default;
};

struct LogHead {
    // Revision of the last entry; 0 for an empty log.
    Revision revision_ = 0;
    // Consecutive revisions, the last one equal to revision_.
    std::vector<LogEntry> entries_;

    auto operator<=>(const LogHead&) const = default;
};

struct LogDecodeError {
    std::string message_;

    auto operator<=>(const LogDecodeError&) const = default;
};

auto encodeLogHead(const LogHead& head) -> std::string;
// Refuses malformed text, unknown formats and gaps in the revisions.
auto decodeLogHead(std::string_view text) -> Result<LogHead, LogDecodeError>;

} // namespace sapphirepass

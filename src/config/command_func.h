// Applies commands to snapshots. Pure: the same snapshot and commands give the same result everywhere.
#pragma once

#include "base/result.h"
#include "config/command_type.h"
#include "config/snapshot.h"

#include <string>

namespace sapphirepass {

enum class ConfigErrorKind { UnknownItem,
    AlreadyDeclared,
    UnknownReference,
    StillUsed,
    BadValue,
    KeyWithdrawn };

struct ConfigError {
    ConfigErrorKind kind_;
    // For people; names the item and what was expected.
    std::string message_;
    // Position of the command in its batch, from 0.
    std::size_t position_ = 0;

    auto operator<=>(const ConfigError&) const = default;
};

// The snapshot with the command applied, at the same revision.
auto applyCommand(const Snapshot& snapshot, const Command& command) -> Result<Snapshot, ConfigError>;
// The snapshot with all commands applied at the next revision, or the first error and no change.
auto applyBatch(const Snapshot& snapshot, const CommandBatch& batch) -> Result<Snapshot, ConfigError>;

} // namespace sapphirepass

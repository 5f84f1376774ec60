// The configuration in force on one instance. Moves forward only, whatever a source offers.
#pragma once

#include "base/result.h"
#include "config/log_type.h"
#include "config/snapshot.h"

#include <memory>
#include <mutex>

namespace sapphirepass {

enum class ApplyErrorKind {
    // The source is behind this instance; nothing was changed.
    Stale,
    // The log starts after this instance's revision; a snapshot is needed.
    Gap,
    // A command cannot be read or applied by this version; the instance stays where it is.
    UnknownCommand,
    // The same revision has another content here than elsewhere; nothing was changed.
    Diverged,
};

struct ApplyError {
    ApplyErrorKind kind_;
    std::string message_;

    auto operator<=>(const ApplyError&) const = default;
};

// Applies an entry to a snapshot of the preceding revision. Pure.
auto applyLogEntry(const Snapshot& snapshot, const LogEntry& entry) -> Result<Snapshot, ApplyError>;

// Thread-safe.
class ConfigState {
public:
    auto snapshot() const -> std::shared_ptr<const Snapshot>;
    // Applies the entries that this instance has not applied yet; returns the revision in force.
    auto apply(const LogHead& head) -> Result<Revision, ApplyError>;
    // Takes over a snapshot that another source has; returns the revision in force.
    auto install(const Snapshot& snapshot) -> Result<Revision, ApplyError>;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const Snapshot> snapshot_ = std::make_shared<const Snapshot>();
};

} // namespace sapphirepass

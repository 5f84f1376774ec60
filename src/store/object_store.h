// The platform's object API as the system sees it. Calls block; each has its own time limit.
#pragma once

#include "base/result.h"
#include "base/socket_address.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

using ObjectVersion = std::int64_t;

// Version that a write expects of an object that must not exist yet.
inline constexpr ObjectVersion absentVersion = 0;
// The platform refuses larger values.
inline constexpr std::size_t maxObjectBytes = 1024 * 1024;

struct StoredObject {
    std::string name_;
    ObjectVersion version_ = absentVersion;
    std::string value_;

    auto operator<=>(const StoredObject&) const = default;
};

enum class StoreErrorKind {
    // Not sent or refused by an outage: a write has not taken effect.
    Unreachable,
    // Sent, but no answer arrived: a write may have taken effect.
    AnswerLost,
    NotFound,
    // The object is not at the expected version; nothing was written.
    Conflict,
    TooLarge,
    // The platform answered something that is not part of its protocol.
    Protocol,
};

struct StoreError {
    StoreErrorKind kind_;
    std::string message_;

    auto operator<=>(const StoreError&) const = default;
};

enum class InstancePhase { Live,
    Leaving };

// A row of the platform's list of the system's own instances. The list lags.
struct PlatformInstance {
    std::string name_;
    std::string region_;
    std::string domain_;
    SocketAddress http_;
    SocketAddress peer_;
    InstancePhase phase_ = InstancePhase::Live;

    auto operator<=>(const PlatformInstance&) const = default;
};

class ObjectStore {
public:
    virtual ~ObjectStore() = default;
    virtual auto read(const std::string& name) -> Result<StoredObject, StoreError> = 0;
    // Writes if the object is at the expected version; returns the new version.
    virtual auto write(const std::string& name, const std::string& value, ObjectVersion expected) -> Result<ObjectVersion, StoreError> = 0;
    virtual auto remove(const std::string& name, ObjectVersion expected) -> Result<Done, StoreError> = 0;
    // Waits until the object is newer than a version; nothing if it is not within the time.
    virtual auto watch(const std::string& name, ObjectVersion after, std::chrono::milliseconds longest) -> Result<std::optional<StoredObject>, StoreError> = 0;
    // Names of the objects that start with a prefix, in ascending order.
    virtual auto list(const std::string& prefix) -> Result<std::vector<std::string>, StoreError> = 0;
    virtual auto instances() -> Result<std::vector<PlatformInstance>, StoreError> = 0;
};

} // namespace sapphirepass

// Accepts operators' commands: test run, then one conditional update of the log's head object.
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "config/command_type.h"
#include "config/config_state.h"
#include "store/object_store.h"

#include <optional>
#include <string>

namespace sapphirepass {

// Name of the head object of the command log.
inline constexpr std::string_view headObjectName = "config/head";

enum class CommandMode { TestRun,
    Real };

struct CommandRequest {
    std::string text_;
    // Chosen by the client; a request with the id of an accepted command is not run again.
    std::string id_;
    std::string who_;
    std::string from_;
    CommandMode mode_ = CommandMode::Real;
    // If given, refuse unless the configuration is at this revision.
    std::optional<Revision> onlyAt_;
};

struct CommandAccepted {
    Revision revision_ = 0;
    // Bearer keys that the command issued; shown once and kept nowhere.
    std::vector<std::string> bearers_;

    auto operator<=>(const CommandAccepted&) const = default;
};

enum class CommandErrorKind { BadCommand,
    Refused,
    RevisionMismatch,
    NotAccepted,
    OutcomeUnknown };

struct CommandError {
    CommandErrorKind kind_;
    std::string message_;

    auto operator<=>(const CommandError&) const = default;
};

class CommandService {
public:
    CommandService(ObjectStore& store, ConfigState& state, const Clock& clock);

    // Blocks for a few calls of the store. Accepted means durable in the store and applied here.
    auto submit(const CommandRequest& request) -> Result<CommandAccepted, CommandError>;

private:
    struct ReadHead {
        LogHead head_;
        ObjectVersion version_ = absentVersion;
    };

    auto readHead() -> Result<ReadHead, CommandError>;
    auto append(ReadHead& read, const CommandRequest& request, const std::string& text) -> Result<Revision, StoreError>;
    auto resolveLostAnswer(const CommandRequest& request) -> Result<Revision, CommandError>;

    ObjectStore& store_;
    ConfigState& state_;
    const Clock& clock_;
};

} // namespace sapphirepass

// Accepts operators' commands: test run, then one conditional update of the log's head object.
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "config/command_type.h"
#include "config/config_state.h"
#include "store/log_cutter.h"
#include "store/log_head.h"
#include "store/object_store.h"

#include <optional>
#include <string>

namespace sapphirepass {

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
    CommandService(ObjectStore& store, ConfigState& state, const Clock& clock, const LogBounds& bounds = {});

    // Blocks for a few calls of the store. Accepted means durable in the store and applied here.
    auto submit(const CommandRequest& request) -> Result<CommandAccepted, CommandError>;

private:
    struct Attempt;

    // One read of the head and at most one conditional update; nothing if the attempt must be repeated.
    auto attempt(Attempt& attempt) -> std::optional<Result<CommandAccepted, CommandError>>;
    auto testRun(const Attempt& attempt) -> Result<Snapshot, CommandError>;
    auto append(Attempt& attempt, StoredHead current, const Snapshot& next) -> std::optional<Result<CommandAccepted, CommandError>>;
    auto cut(std::size_t extraBytes) -> bool;
    auto recordRefusal(const Attempt& attempt, const CommandError& error) -> void;
    auto makeEntry(const CommandRequest& request, Revision revision, const std::string& text) const -> LogEntry;

    ObjectStore& store_;
    ConfigState& state_;
    const Clock& clock_;
    LogBounds bounds_;
};

} // namespace sapphirepass

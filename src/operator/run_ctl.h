// The operators' client.
#pragma once

#include "base/socket_address.h"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace sapphirepass {

enum class CtlOutput { Table,
    Json };

struct CtlOptions {
    SocketAddress entry_;
    CtlOutput output_ = CtlOutput::Table;
    std::string who_;
    bool testRun_ = false;
    std::optional<std::int64_t> onlyAt_;
    // Id of the commands; empty to draw one. The same id again never runs the commands twice.
    std::string id_;
    // How long to wait for a change to be in force everywhere.
    std::chrono::milliseconds wait_ { 5'000 };
};

// Exit codes of the client.
enum class CtlExit : int {
    Done = 0,
    // The command line or the text was wrong.
    Usage = 2,
    // The command was refused; nothing was changed.
    Refused = 3,
    // The entry or the store did not answer; nothing was changed.
    Unavailable = 4,
    // Whether the command took effect could not be learnt.
    Unknown = 5,
    // A withdrawal is enforced, but not yet in the store.
    NotDurable = 6,
};

// Runs one text: a query or a batch of commands.
auto runCtlText(const CtlOptions& options, const std::string& text, std::ostream& out, std::ostream& err) -> CtlExit;
// Runs all of a stream as one text, so that its commands are one batch.
auto runCtlBatch(const CtlOptions& options, std::istream& in, std::ostream& out, std::ostream& err) -> CtlExit;
// Runs each line on its own and stops at the first that fails.
auto runCtlLines(const CtlOptions& options, std::istream& in, std::ostream& out, std::ostream& err) -> CtlExit;

} // namespace sapphirepass

// Turns command statements into typed commands and back into their canonical text.
#pragma once

#include "base/result.h"
#include "config/command_type.h"
#include "language/parser.h"

namespace sapphirepass {

// Checks kinds, names, fields and values; the error points at the offending word.
auto parseCommand(const CommandStatement& statement) -> Result<Command, LanguageError>;
// Reads a declaration of any kind, withdrawn keys included, as snapshots hold them.
auto parseItem(const CommandStatement& statement) -> Result<Item, LanguageError>;
// Reads a whole batch of commands; a query among them is an error.
auto parseBatch(std::string_view text) -> Result<CommandBatch, LanguageError>;
// Where the command at a position of the batch names its item; the first place if there is no such command.
auto locationOfCommand(std::string_view text, std::size_t position) -> SourceLocation;
// The text that parseBatch() reads back as an equal batch; kept in the command log.
auto formatBatch(const CommandBatch& batch) -> std::string;

} // namespace sapphirepass

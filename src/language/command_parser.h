// Converts command statements to typed commands and these back to canonical text.
#pragma once

#include "base/result.h"
#include "config/command_type.h"
#include "language/parser.h"

namespace sapphirepass {

// Checks kinds, names, fields and values; an error has the location of the offending word.
auto parseCommand(const CommandStatement& statement) -> Result<Command, LanguageError>;
// Parses a declaration as stored in snapshots: of any kind, including withdrawn keys.
auto parseItem(const CommandStatement& statement) -> Result<Item, LanguageError>;
// Parses a batch of commands; queries are not allowed.
auto parseBatch(std::string_view text) -> Result<CommandBatch, LanguageError>;
// Location of the item's name in the command at this index of the batch; line 1, column 1 if there is no such command.
auto locationOfCommand(std::string_view text, std::size_t index) -> SourceLocation;
// Canonical text, as stored in the command log. parseBatch() returns an equal batch for it.
auto formatBatch(const CommandBatch& batch) -> std::string;

} // namespace sapphirepass

// Parser of the operators' command language. Statements are separated by ';' or newlines; '#' starts a comment.
#pragma once

#include "base/result.h"
#include "language/statement_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

struct LanguageError {
    SourceLocation location_;
    // What is wrong and what was expected.
    std::string message_;

    auto operator<=>(const LanguageError&) const = default;
};

auto parseStatements(std::string_view text) -> Result<std::vector<Statement>, LanguageError>;
// The error message, the offending line of the text and a caret below the column.
auto renderError(const LanguageError& error, std::string_view text) -> std::string;

} // namespace sapphirepass

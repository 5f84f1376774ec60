// Parses the operators' language. Statements are separated by ';' or line ends; '#' starts a comment.
#pragma once

#include "base/result.h"
#include "language/statement_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

struct LanguageError {
    SourceLocation location_;
    // What is wrong there, and what was expected.
    std::string message_;

    auto operator<=>(const LanguageError&) const = default;
};

auto parseStatements(std::string_view text) -> Result<std::vector<Statement>, LanguageError>;
// The error with the operators' line and a mark below the place.
auto renderError(const LanguageError& error, std::string_view text) -> std::string;

} // namespace sapphirepass

// Syntax tree of the operators' command language; names and values are not validated yet.
#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace sapphirepass {

// Location in the input; both values count from 1.
struct SourceLocation {
    std::size_t line_ = 1;
    std::size_t column_ = 1;

    auto operator<=>(const SourceLocation&) const = default;
};

struct Word {
    std::string text_;
    SourceLocation location_;

    auto operator<=>(const Word&) const = default;
};

struct Attribute {
    Word name_;
    Word value_;

    auto operator<=>(const Attribute&) const = default;
};

// VERB KIND NAME [force] FIELD VALUE ...
struct CommandStatement {
    Word verb_;
    Word kind_;
    Word name_;
    bool force_ = false;
    std::vector<Attribute> attributes_;

    auto operator<=>(const CommandStatement&) const = default;
};

enum class Comparison { Equal,
    NotEqual,
    Less,
    Greater,
    AtMost,
    AtLeast,
    Contains };

struct Condition {
    Word field_;
    Comparison comparison_ = Comparison::Equal;
    Word value_;

    auto operator<=>(const Condition&) const = default;
};

enum class SortOrder { Ascending,
    Descending };

// show SUBJECT [where FIELD OP VALUE [and|or ...]] [sort FIELD [desc]] [limit N]
struct QueryStatement {
    Word subject_;
    // Disjunction of conjunctions: a row matches if all conditions of any element hold. Empty matches every row.
    std::vector<std::vector<Condition>> anyOf_;
    // Empty for the order of the source.
    Word sortField_;
    SortOrder sortOrder_ = SortOrder::Ascending;
    // Maximum number of rows; 0 for all.
    std::size_t limit_ = 0;

    auto operator<=>(const QueryStatement&) const = default;
};

using Statement = std::variant<CommandStatement, QueryStatement>;

} // namespace sapphirepass

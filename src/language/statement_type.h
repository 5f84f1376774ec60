// The syntax of the operators' language, before names and values are checked.
#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace sapphirepass {

// Where something stands in the operators' text; both count from 1.
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
    // A row is shown if all conditions of any of these hold; none at all shows every row.
    std::vector<std::vector<Condition>> anyOf_;
    // Empty to keep the order of the source.
    Word sortField_;
    SortOrder sortOrder_ = SortOrder::Ascending;
    // Most rows to return; 0 for all.
    std::size_t limit_ = 0;

    auto operator<=>(const QueryStatement&) const = default;
};

using Statement = std::variant<CommandStatement, QueryStatement>;

} // namespace sapphirepass

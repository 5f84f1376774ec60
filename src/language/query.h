// Queries over tables of text.
#pragma once

#include "base/result.h"
#include "config/snapshot.h"
#include "language/parser.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

struct Rows {
    std::vector<std::string> columns_;
    // Each as long as columns_.
    std::vector<std::vector<std::string>> rows_;

    auto operator<=>(const Rows&) const = default;
};

// A table that operators can query, such as the instances of the fleet.
class RowSource {
public:
    virtual ~RowSource() = default;
    // The word after "show" in a query.
    virtual auto subject() const -> std::string = 0;
    virtual auto rows() const -> Rows = 0;
    // A superset of the rows that match the query, or why they are not available. Large sources override this to avoid
    // reading all their rows; the caller runs the query over the result in any case.
    virtual auto rowsFor(const QueryStatement&) const -> Result<Rows, std::string> { return rows(); }
};

// Filters, sorts and limits rows. Whole numbers are compared as numbers, durations as durations, all else as text.
auto runQuery(const Rows& rows, const QueryStatement& query) -> Result<Rows, LanguageError>;
// The declared items of a kind; the subject is the kind's name or its plural. No value for other subjects.
auto declaredRows(const Snapshot& snapshot, std::string_view subject) -> std::optional<Rows>;
// Renders aligned columns under a header line.
auto renderTable(const Rows& rows) -> std::string;

} // namespace sapphirepass

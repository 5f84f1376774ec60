// Queries over rows, whatever they describe.
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

// Something that operators can ask about, such as the instances of the fleet.
class RowSource {
public:
    virtual ~RowSource() = default;
    // The word behind show.
    virtual auto subject() const -> std::string = 0;
    virtual auto rows() const -> Rows = 0;
    // At least the rows that the query asks for, or why they cannot be had now. For sources that hold more than
    // they want to read at once; the query is run over the result in any case.
    virtual auto rowsFor(const QueryStatement&) const -> Result<Rows, std::string> { return rows(); }
};

// Filters, sorts and cuts rows. Whole numbers compare as numbers, durations as durations, all else as text.
auto runQuery(const Rows& rows, const QueryStatement& query) -> Result<Rows, LanguageError>;
// The declared items of a kind; the subject is the kind's name or its plural. Nothing for other subjects.
auto declaredRows(const Snapshot& snapshot, std::string_view subject) -> std::optional<Rows>;
// Aligned columns with a header line.
auto renderTable(const Rows& rows) -> std::string;

} // namespace sapphirepass

#include "language/query.h"

#include "base/field.h"
#include "base/text_func.h"
#include "base/texts.h"
#include "config/kind_func.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    auto compareValues(const std::string& a, const std::string& b) -> std::strong_ordering
    {
        constexpr Bounds anyNumber { std::numeric_limits<std::int64_t>::min() };
        const auto numberA = parseNumber(a, anyNumber);
        const auto numberB = parseNumber(b, anyNumber);
        if (numberA && numberB)
            return *numberA <=> *numberB;
        const auto durationA = parseDuration(a);
        const auto durationB = parseDuration(b);
        if (durationA && durationB)
            return durationA->count() <=> durationB->count();
        return a <=> b;
    }

    auto matches(Comparison comparison, const std::string& value, const std::string& wanted) -> bool
    {
        const auto order = compareValues(value, wanted);
        switch (comparison) {
        case Comparison::Equal:
            return order == 0;
        case Comparison::NotEqual:
            return order != 0;
        case Comparison::Less:
            return order < 0;
        case Comparison::Greater:
            return order > 0;
        case Comparison::AtMost:
            return order <= 0;
        case Comparison::AtLeast:
            return order >= 0;
        case Comparison::Contains:
            return containsText(value, wanted);
        }
        return false;
    }

    auto findColumn(const Rows& rows, const std::string& name) -> std::optional<std::size_t>
    {
        const auto column = std::find(rows.columns_.begin(), rows.columns_.end(), name);
        if (column == rows.columns_.end())
            return std::nullopt;
        return static_cast<std::size_t>(column - rows.columns_.begin());
    }

    auto unknownColumn(const Rows& rows, const Word& field) -> LanguageError
    {
        return { field.location_, fmt::format(texts::columnUnknown, field.text_, fmt::join(rows.columns_, ", ")) };
    }

    auto findUnknownColumn(const Rows& rows, const QueryStatement& query) -> std::optional<LanguageError>
    {
        for (const auto& conditions : query.anyOf_) {
            for (const auto& condition : conditions) {
                if (!findColumn(rows, condition.field_.text_))
                    return unknownColumn(rows, condition.field_);
            }
        }
        if (!query.sortField_.text_.empty() && !findColumn(rows, query.sortField_.text_))
            return unknownColumn(rows, query.sortField_);
        return std::nullopt;
    }

    auto matchesQuery(const Rows& rows, const QueryStatement& query, const std::vector<std::string>& row) -> bool
    {
        const auto holds = [&](const Condition& condition) {
            return matches(condition.comparison_, row[*findColumn(rows, condition.field_.text_)], condition.value_.text_);
        };
        const auto allHold = [&](const std::vector<Condition>& conditions) { return std::all_of(conditions.begin(), conditions.end(), holds); };
        return query.anyOf_.empty() || std::any_of(query.anyOf_.begin(), query.anyOf_.end(), allHold);
    }

    template <typename T>
    auto rowsOfKind(const Snapshot& snapshot) -> Rows
    {
        Rows result { { "name" }, {} };
        for (const auto& field : fieldsOf<T>()) {
            // Of keys only the workspace is shown; salted hashes are of no use to operators.
            if (!std::is_same_v<T, Key> || field.name_ == "workspace")
                result.columns_.emplace_back(field.name_);
        }
        snapshot.table<T>().forEach([&](const T& item) {
            std::vector<std::string> row { item.name_ };
            for (std::size_t i = 1; i < result.columns_.size(); ++i)
                row.push_back(findField<T>(result.columns_[i])->format_(item));
            result.rows_.push_back(std::move(row));
        });
        return result;
    }
}

auto runQuery(const Rows& rows, const QueryStatement& query) -> Result<Rows, LanguageError>
{
    if (auto unknown = findUnknownColumn(rows, query))
        return *unknown;
    Rows result { rows.columns_, {} };
    std::copy_if(rows.rows_.begin(), rows.rows_.end(), std::back_inserter(result.rows_), [&](const auto& row) { return matchesQuery(rows, query, row); });
    if (!query.sortField_.text_.empty()) {
        const auto column = *findColumn(rows, query.sortField_.text_);
        const bool descending = query.sortOrder_ == SortOrder::Descending;
        std::stable_sort(result.rows_.begin(), result.rows_.end(), [&](const auto& a, const auto& b) {
            const auto order = compareValues(a[column], b[column]);
            return descending ? order > 0 : order < 0;
        });
    }
    if (query.limit_ != 0 && result.rows_.size() > query.limit_)
        result.rows_.resize(query.limit_);
    return result;
}

auto declaredRows(const Snapshot& snapshot, std::string_view subject) -> std::optional<Rows>
{
    std::optional<Rows> rows;
    forEachKind([&]<typename T>(std::type_identity<T>) {
        if (subject == kindName<T>() || subject == fmt::format("{}s", kindName<T>()))
            rows = rowsOfKind<T>(snapshot);
    });
    return rows;
}

auto renderTable(const Rows& rows) -> std::string
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < rows.columns_.size(); ++i) {
        auto width = rows.columns_[i].size();
        for (const auto& row : rows.rows_)
            width = std::max(width, row[i].size());
        widths.push_back(width);
    }
    const auto renderRow = [&widths](const std::vector<std::string>& row) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        return boost::algorithm::trim_right_copy(line) + "\n";
    };
    auto text = renderRow(rows.columns_);
    for (const auto& row : rows.rows_)
        text += renderRow(row);
    return text;
}

} // namespace sapphirepass

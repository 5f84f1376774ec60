#include "store/command_trail.h"

#include "base/field.h"
#include "base/texts.h"
#include "store/audit_trail.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace sapphirepass {

namespace {
    // Pages read for one query; a page holds about a hundred commands.
    constexpr std::size_t mostPages = 50;
    constexpr Revision noBound = std::numeric_limits<Revision>::max();

    // The highest revision that a condition allows.
    auto boundOf(const Condition& condition) -> Revision
    {
        const auto number = parseNumber(condition.value_.text_, {});
        if (condition.field_.text_ != "revision" || !number)
            return noBound;
        const auto comparison = condition.comparison_;
        const bool bounds = comparison == Comparison::Less || comparison == Comparison::AtMost || comparison == Comparison::Equal;
        return bounds ? *number : noBound;
    }

    auto highestWanted(const QueryStatement& query) -> Revision
    {
        Revision highest = query.anyOf_.empty() ? noBound : 0;
        for (const auto& conditions : query.anyOf_) {
            auto bound = noBound;
            for (const auto& condition : conditions)
                bound = std::min(bound, boundOf(condition));
            highest = std::max(highest, bound);
        }
        return highest;
    }

    auto rowOf(const LogEntry& entry, const std::string& result, const std::string& reason) -> std::vector<std::string>
    {
        return { fmt::format("{}", entry.revision_), result, entry.at_, entry.who_, entry.from_, entry.id_, redactText(entry.text_), reason };
    }

    auto errorText(const StoreError& error) -> std::string
    {
        return fmt::format(texts::auditTrailUnreadable, error.message_);
    }
}

CommandTrail::CommandTrail(ObjectStore& store)
    : store_(store)
{
}

auto CommandTrail::rows() const -> Rows
{
    const auto all = rowsFor({});
    return isOk(all) ? valueOf(all) : Rows {};
}

auto CommandTrail::rowsFor(const QueryStatement& query) const -> Result<Rows, std::string>
{
    const auto accepted = readAccepted(store_, highestWanted(query), mostPages);
    if (!isOk(accepted))
        return errorText(errorOf(accepted));
    const auto refused = readRefused(store_);
    if (!isOk(refused))
        return errorText(errorOf(refused));
    Rows rows { { "revision", "result", "at", "who", "from", "id", "commands", "reason" }, {} };
    for (const auto& entry : valueOf(accepted))
        rows.rows_.push_back(rowOf(entry, "accepted", ""));
    for (const auto& command : valueOf(refused))
        rows.rows_.push_back(rowOf(command.entry_, "refused", command.reason_));
    // A refused command stands behind the revision that it was tested against. Clocks of instances differ.
    const auto byRevision = [](const auto& a, const auto& b) { return parseNumber(a[0], {}) < parseNumber(b[0], {}); };
    std::stable_sort(rows.rows_.begin(), rows.rows_.end(), byRevision);
    return rows;
}

} // namespace sapphirepass

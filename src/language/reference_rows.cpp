#include "language/reference_rows.h"

#include "config/kind_func.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    auto kindVerbs(std::string_view kind) -> std::string
    {
        if (kind == kindName<Key>())
            return "issue, withdraw, retire";
        if (kind == kindName<WithdrawnKey>())
            return "none";
        return "declare, change, retire";
    }

    auto kindRows() -> Rows
    {
        Rows rows { { "kind", "verbs", "fields" }, {} };
        forEachKind([&rows]<typename T>(std::type_identity<T>) {
            rows.rows_.push_back({ std::string(kindName<T>()), kindVerbs(kindName<T>()), fieldNames<T>() });
        });
        return rows;
    }

    template <typename T>
    auto addFields(Rows& rows) -> void
    {
        const T defaults;
        for (const auto& field : fieldsOf<T>()) {
            const bool required = field.presence_ == Presence::Required;
            rows.rows_.push_back({ std::string(kindName<T>()), std::string(field.name_), required ? "required" : "optional",
                required ? std::string() : field.format_(defaults), std::string(field.expected_) });
        }
    }

    auto fieldRows() -> Rows
    {
        Rows rows { { "kind", "field", "presence", "default", "value" }, {} };
        forEachKind([&rows]<typename T>(std::type_identity<T>) { addFields<T>(rows); });
        return rows;
    }
}

auto referenceRows(std::string_view subject) -> std::optional<Rows>
{
    if (subject == "kinds")
        return kindRows();
    if (subject == "fields")
        return fieldRows();
    return std::nullopt;
}

} // namespace sapphirepass

// Dispatch from the name of a kind to its type.
#pragma once

#include "config/config_type.h"
#include "config/field_table.h"

#include <type_traits>

namespace sapphirepass {

// Calls visit(std::type_identity<T>) for each kind of item, in the order of Item.
template <typename Visit>
auto forEachKind(Visit visit) -> void
{
    [&]<typename... Ts>(std::type_identity<std::variant<Ts...>>) {
        (visit(std::type_identity<Ts> {}), ...);
    }(std::type_identity<Item> {});
}

// Calls visit for the kind of that name; false if there is none.
template <typename Visit>
auto withKind(std::string_view name, Visit visit) -> bool
{
    bool found = false;
    forEachKind([&]<typename T>(std::type_identity<T> kind) {
        if (!found && kindName<T>() == name) {
            found = true;
            visit(kind);
        }
    });
    return found;
}

// All kinds' names, separated by commas.
inline auto kindNames() -> std::string
{
    std::string names;
    forEachKind([&]<typename T>(std::type_identity<T>) {
        names += names.empty() ? "" : ", ";
        names += kindName<T>();
    });
    return names;
}

// A field's row in the table of its kind, or null.
template <typename T>
auto findField(std::string_view name) -> const Field<T>*
{
    for (const auto& field : fieldsOf<T>()) {
        if (field.name_ == name)
            return &field;
    }
    return nullptr;
}

// The names of a kind's fields, separated by commas.
template <typename T>
auto fieldNames() -> std::string
{
    std::string names;
    for (const auto& field : fieldsOf<T>()) {
        names += names.empty() ? "" : ", ";
        names += field.name_;
    }
    return names;
}

} // namespace sapphirepass

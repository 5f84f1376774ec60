// References between declared items.
#pragma once

#include "config/config_type.h"
#include "config/snapshot.h"

#include <compare>
#include <string>
#include <vector>

namespace sapphirepass {

struct Reference {
    std::string kind_;
    std::string name_;

    auto operator<=>(const Reference&) const = default;
};

// The items that an item needs to be declared.
auto referencesOf(const Item& item) -> std::vector<Reference>;
// Whether the referred item is declared.
auto isDeclared(const Snapshot& snapshot, const Reference& reference) -> bool;
// The items that refer to the given one, in the order of kinds and names.
auto usersOf(const Snapshot& snapshot, const Reference& used) -> std::vector<Reference>;

} // namespace sapphirepass

// The commands that change the configuration. One that was accepted once can be applied on every instance.
#pragma once

#include "config/config_type.h"

#include <string>
#include <variant>
#include <vector>

namespace sapphirepass {

struct FieldChange {
    std::string field_;
    std::string value_;

    auto operator<=>(const FieldChange&) const = default;
};

// Adds an item whose name is not in use yet.
struct DeclareCommand {
    Item item_;

    auto operator<=>(const DeclareCommand&) const = default;
};

// Gives fields of a declared item new values.
struct ChangeCommand {
    std::string kind_;
    std::string name_;
    std::vector<FieldChange> changes_;

    auto operator<=>(const ChangeCommand&) const = default;
};

// Removes an item. Without force it is refused while something else refers to the item;
// with force, what refers to it is removed as well.
struct RetireCommand {
    std::string kind_;
    std::string name_;
    bool force_ = false;

    auto operator<=>(const RetireCommand&) const = default;
};

// Ends a key for good.
struct WithdrawKeyCommand {
    std::string name_;

    auto operator<=>(const WithdrawKeyCommand&) const = default;
};

using Command = std::variant<DeclareCommand, ChangeCommand, RetireCommand, WithdrawKeyCommand>;
// Applied whole or not at all.
using CommandBatch = std::vector<Command>;

} // namespace sapphirepass

// Secrets of keys. A caller presents NAME.SECRET; only a salted hash of the secret is kept.
#pragma once

#include "config/config_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

struct PresentedKey {
    std::string_view name_;
    std::string_view secret_;
};

struct IssuedKey {
    Key key_;
    // NAME.SECRET, shown to the operator once.
    std::string bearer_;
};

// Splits NAME.SECRET; nothing if the text is malformed.
auto parsePresentedKey(std::string_view bearer) -> std::optional<PresentedKey>;
// Draws a secret and a salt for a key.
auto issueKey(const std::string& name, const std::string& workspace) -> IssuedKey;
// Whether the secret belongs to the key; takes the same time whether or not it does.
auto matchesKey(const Key& key, std::string_view secret) -> bool;

} // namespace sapphirepass

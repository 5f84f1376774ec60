// One table for each declared kind: the fields' names, bounds and text forms. Commands, queries,
// the canonical log text and the operators' reference are all read from these tables.
#pragma once

#include "base/field.h"
#include "config/config_type.h"

#include <span>
#include <string>
#include <string_view>

namespace sapphirepass {

// Name of a kind in the language, and its table. Specialised for each alternative of Item.
template <typename T>
auto kindName() -> std::string_view;
template <typename T>
auto fieldsOf() -> std::span<const Field<T>>;

// Whether text may name a declared thing: letters, digits, '-', '_' and '.', at most 64, starting with a letter or digit.
auto isName(std::string_view text) -> bool;
// Whether text is an IPv4 prefix such as 10.1.0.0/16 with no bit set behind its length.
auto isIpv4Prefix(std::string_view text) -> bool;

} // namespace sapphirepass

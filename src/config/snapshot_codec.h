// The text form of a whole snapshot: a header line, then one declaration a line in an order that can be declared again.
#pragma once

#include "base/result.h"
#include "config/log_type.h"
#include "config/snapshot.h"

#include <string>
#include <string_view>

namespace sapphirepass {

auto encodeSnapshot(const Snapshot& snapshot) -> std::string;
// Refuses unknown formats, malformed lines and text whose state hash is not the one it states.
auto decodeSnapshot(std::string_view text) -> Result<Snapshot, LogDecodeError>;

} // namespace sapphirepass

// Escrow messages as Cap'n Proto bytes, and the share table as the value of a store object.
#pragma once

#include "admission/escrow_type.h"

#include <optional>

namespace sapphirepass {

auto encodeEscrowMessage(const EscrowMessage& message) -> std::string;
// The names of sender and receiver come from the link; nothing if the bytes are not a message.
auto decodeEscrowMessage(const std::string& bytes, const std::string& from, const std::string& to) -> std::optional<EscrowMessage>;

auto encodeEpochRecord(const EpochRecord& record) -> std::string;
auto decodeEpochRecord(const std::string& text) -> std::optional<EpochRecord>;

} // namespace sapphirepass

// Encoding of escrow messages as packed Cap'n Proto, and of the epoch record as JSON for the store.
#pragma once

#include "admission/escrow_type.h"

#include <optional>

namespace sapphirepass {

auto encodeEscrowMessage(const EscrowMessage& message) -> std::string;
// The names of sender and receiver are those of the peer link. Returns nothing if the bytes are not a valid message.
auto decodeEscrowMessage(const std::string& bytes, const std::string& from, const std::string& to) -> std::optional<EscrowMessage>;

auto encodeEpochRecord(const EpochRecord& record) -> std::string;
auto decodeEpochRecord(const std::string& text) -> std::optional<EpochRecord>;

} // namespace sapphirepass

// Encodes and decodes datagrams between instances.
#pragma once

#include "base/result.h"
#include "gateway/fleet/fleet_view.h"
#include "gateway/limits/limit_notice.h"
#include "gateway/limits/rate_type.h"

#include <string>
#include <string_view>
#include <variant>

namespace sapphirepass {

struct DatagramError {
    std::string message_;

    auto operator<=>(const DatagramError&) const = default;
};

using PeerDatagram = std::variant<MemberReport, RateAsk, RateGrant, LimitAsk, LimitGrant>;

auto encodeDatagram(const PeerDatagram& datagram) -> std::string;
auto decodeDatagram(std::string_view bytes) -> Result<PeerDatagram, DatagramError>;

} // namespace sapphirepass

#include "gateway/heartbeat_codec.h"

#include "wire/heartbeat.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <cmath>
#include <cstring>
#include <kj/exception.h>
#include <kj/io.h>

namespace sapphirepass {

namespace {
    // A heartbeat fits a datagram; anything larger is no heartbeat.
    constexpr std::uint64_t mostWords = 8 * 1024;

    auto writeAddress(wire::PeerAddress::Builder builder, const SocketAddress& address) -> void
    {
        builder.setHost(address.host_);
        builder.setPort(address.port_);
    }

    auto readAddress(wire::PeerAddress::Reader reader) -> SocketAddress
    {
        return { reader.getHost().cStr(), reader.getPort() };
    }

    auto readReport(wire::Heartbeat::Reader reader) -> MemberReport
    {
        MemberReport report { reader.getName().cStr(), reader.getIncarnation(), readAddress(reader.getFront()), readAddress(reader.getPeer()), reader.getRegion().cStr(), reader.getDomain().cStr(), static_cast<MemberPhase>(reader.getPhase()), {}, {}, {} };
        for (const auto demand : reader.getDemands())
            report.demands_.push_back({ demand.getWorkspace().cStr(), demand.getPerSecond() });
        for (const auto crash : reader.getCrashes())
            report.crashes_.push_back({ crash.getFingerprint(), crash.getUpstreams() });
        for (const auto address : reader.getKnown())
            report.known_.push_back(readAddress(address));
        return report;
    }

    auto isPlausible(const MemberReport& report) -> bool
    {
        for (const auto& demand : report.demands_) {
            if (!std::isfinite(demand.perSecond_) || demand.perSecond_ < 0)
                return false;
        }
        return !report.name_.empty() && report.phase_ <= MemberPhase::Stopping && parseSocketAddress(formatSocketAddress(report.peer_)).has_value();
    }
}

auto encodeHeartbeat(const MemberReport& report) -> std::string
{
    capnp::MallocMessageBuilder message;
    auto heartbeat = message.initRoot<wire::Heartbeat>();
    heartbeat.setName(report.name_);
    heartbeat.setIncarnation(report.incarnation_);
    writeAddress(heartbeat.initFront(), report.front_);
    writeAddress(heartbeat.initPeer(), report.peer_);
    heartbeat.setRegion(report.region_);
    heartbeat.setDomain(report.domain_);
    heartbeat.setPhase(static_cast<std::uint16_t>(report.phase_));
    auto demands = heartbeat.initDemands(static_cast<unsigned>(report.demands_.size()));
    for (unsigned i = 0; i < demands.size(); ++i) {
        demands[i].setWorkspace(report.demands_[i].workspace_);
        demands[i].setPerSecond(static_cast<float>(report.demands_[i].perSecond_));
    }
    auto crashes = heartbeat.initCrashes(static_cast<unsigned>(report.crashes_.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        crashes[i].setFingerprint(report.crashes_[i].fingerprint_);
        crashes[i].setUpstreams(report.crashes_[i].upstreams_);
    }
    auto known = heartbeat.initKnown(static_cast<unsigned>(report.known_.size()));
    for (unsigned i = 0; i < known.size(); ++i)
        writeAddress(known[i], report.known_[i]);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

auto decodeHeartbeat(std::string_view bytes) -> Result<MemberReport, HeartbeatError>
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = mostWords;
        capnp::PackedMessageReader message(in, options);
        auto report = readReport(message.getRoot<wire::Heartbeat>());
        if (!isPlausible(report))
            return HeartbeatError { "a heartbeat has impossible values" };
        return report;
    } catch (const kj::Exception& exception) {
        return HeartbeatError { exception.getDescription().cStr() };
    }
}

} // namespace sapphirepass

#include "gateway/datagram_codec.h"

#include "wire/datagram.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace sapphirepass {

namespace {
    // Traversal limit: a heartbeat fits in one datagram, so a message that needs more is invalid.
    constexpr std::uint64_t maxWords = 8 * 1024;

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
        MemberReport report;
        report.name_ = reader.getName().cStr();
        report.incarnation_ = reader.getIncarnation();
        report.front_ = readAddress(reader.getFront());
        report.peer_ = readAddress(reader.getPeer());
        report.control_ = readAddress(reader.getControl());
        report.region_ = reader.getRegion().cStr();
        report.domain_ = reader.getDomain().cStr();
        report.phase_ = static_cast<MemberPhase>(reader.getPhase());
        for (const auto crash : reader.getCrashes())
            report.crashes_.push_back({ crash.getFingerprint(), crash.getUpstreams() });
        for (const auto address : reader.getKnown())
            report.knownPeers_.push_back(readAddress(address));
        const auto newest = reader.getNewestChanges();
        for (unsigned i = 0; i < newest.size() && i < report.lastChangeRevisions_.size(); ++i)
            report.lastChangeRevisions_.at(i).number_ = newest[i];
        const auto eras = reader.getEras();
        for (unsigned i = 0; i < eras.size() && i < report.lastChangeRevisions_.size(); ++i)
            report.lastChangeRevisions_.at(i).era_ = eras[i];
        report.isSourceLost_ = reader.getSourceLost();
        report.wantsPeers_ = reader.getWantsPeers();
        for (const auto cold : reader.getColds())
            report.coldNotices_.push_back({ cold.getUpstream().cStr(), std::chrono::milliseconds(cold.getLeftMs()) });
        return report;
    }

    auto isValid(const MemberReport& report) -> bool
    {
        return !report.name_.empty() && report.phase_ <= MemberPhase::Stopping && parseSocketAddress(formatSocketAddress(report.peer_)).has_value();
    }

    auto write(wire::PeerDatagram::Builder builder, const MemberReport& report) -> void
    {
        auto heartbeat = builder.initHeartbeat();
        heartbeat.setName(report.name_);
        heartbeat.setIncarnation(report.incarnation_);
        writeAddress(heartbeat.initFront(), report.front_);
        writeAddress(heartbeat.initPeer(), report.peer_);
        writeAddress(heartbeat.initControl(), report.control_);
        heartbeat.setRegion(report.region_);
        heartbeat.setDomain(report.domain_);
        heartbeat.setPhase(static_cast<std::uint16_t>(report.phase_));
        auto crashes = heartbeat.initCrashes(static_cast<unsigned>(report.crashes_.size()));
        for (unsigned i = 0; i < crashes.size(); ++i) {
            crashes[i].setFingerprint(report.crashes_[i].fingerprint_);
            crashes[i].setUpstreams(report.crashes_[i].upstreams_);
        }
        auto known = heartbeat.initKnown(static_cast<unsigned>(report.knownPeers_.size()));
        for (unsigned i = 0; i < known.size(); ++i)
            writeAddress(known[i], report.knownPeers_[i]);
        auto newest = heartbeat.initNewestChanges(static_cast<unsigned>(report.lastChangeRevisions_.size()));
        auto eras = heartbeat.initEras(newest.size());
        for (unsigned i = 0; i < newest.size(); ++i) {
            newest.set(i, report.lastChangeRevisions_.at(i).number_);
            eras.set(i, report.lastChangeRevisions_.at(i).era_);
        }
        heartbeat.setSourceLost(report.isSourceLost_);
        heartbeat.setWantsPeers(report.wantsPeers_);
        auto colds = heartbeat.initColds(static_cast<unsigned>(report.coldNotices_.size()));
        for (unsigned i = 0; i < colds.size(); ++i) {
            colds[i].setUpstream(report.coldNotices_[i].upstream_);
            colds[i].setLeftMs(static_cast<std::uint32_t>(report.coldNotices_[i].left_.count()));
        }
    }

    auto write(wire::PeerDatagram::Builder builder, const RateAsk& ask) -> void
    {
        auto message = builder.initAsk();
        message.setNumber(ask.number_);
        message.setWorkspace(ask.bucket_);
        message.setWanted(ask.wanted_);
    }

    auto write(wire::PeerDatagram::Builder builder, const RateGrant& grant) -> void
    {
        auto message = builder.initGrant();
        message.setNumber(grant.number_);
        message.setWorkspace(grant.bucket_);
        message.setGranted(grant.granted_);
        message.setRetryAfterMs(static_cast<std::uint32_t>(grant.retryAfter_.count()));
    }

    auto read(wire::PeerDatagram::Reader reader) -> Result<PeerDatagram, DatagramError>
    {
        switch (reader.which()) {
        case wire::PeerDatagram::HEARTBEAT: {
            auto report = readReport(reader.getHeartbeat());
            if (!isValid(report))
                return DatagramError { "invalid heartbeat: empty name, unknown phase or invalid peer address" };
            return PeerDatagram(std::move(report));
        }
        case wire::PeerDatagram::ASK: {
            const auto ask = reader.getAsk();
            return PeerDatagram(RateAsk { ask.getNumber(), ask.getWorkspace().cStr(), ask.getWanted() });
        }
        case wire::PeerDatagram::GRANT: {
            const auto grant = reader.getGrant();
            return PeerDatagram(RateGrant { grant.getNumber(), grant.getWorkspace().cStr(), grant.getGranted(), std::chrono::milliseconds(grant.getRetryAfterMs()) });
        }
        }
        return DatagramError { "unknown datagram type" };
    }
}

auto encodeDatagram(const PeerDatagram& datagram) -> std::string
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::PeerDatagram>();
    std::visit([&root](const auto& content) { write(root, content); }, datagram);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

auto decodeDatagram(std::string_view bytes) -> Result<PeerDatagram, DatagramError>
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maxWords;
        capnp::PackedMessageReader message(in, options);
        return read(message.getRoot<wire::PeerDatagram>());
    } catch (const kj::Exception& exception) {
        return DatagramError { exception.getDescription().cStr() };
    }
}

} // namespace sapphirepass

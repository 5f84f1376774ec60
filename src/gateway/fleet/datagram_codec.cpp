#include "gateway/fleet/datagram_codec.h"

#include "wire/datagram.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <cmath>
#include <kj/exception.h>
#include <kj/io.h>
#include <limits>

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

    auto readNotice(wire::UpstreamLimit::Reader reader) -> LimitNotice
    {
        LimitNotice notice { reader.getUpstream().cStr(), reader.getStartMs(), std::nullopt, std::chrono::milliseconds(reader.getAgeMs()) };
        if (reader.getIsNamed())
            notice.perSecond_ = reader.getPerSecond();
        return notice;
    }

    auto write(wire::UpstreamLimit::Builder builder, const LimitNotice& notice) -> void
    {
        constexpr std::int64_t maxAgeMs = std::numeric_limits<std::uint32_t>::max();
        builder.setUpstream(notice.upstream_);
        builder.setStartMs(notice.startTimeMs_);
        builder.setIsNamed(notice.perSecond_.has_value());
        builder.setPerSecond(notice.perSecond_.value_or(0));
        builder.setAgeMs(static_cast<std::uint32_t>(std::clamp<std::int64_t>(notice.age_.count(), 0, maxAgeMs)));
    }

    auto isValid(const LimitNotice& notice) -> bool
    {
        return !notice.upstream_.empty() && std::isfinite(notice.perSecond_.value_or(0)) && notice.perSecond_.value_or(0) >= 0;
    }

    // Figures are validated where they are used, so that an invalid one does not cost the rest of the heartbeat.
    auto readObservation(wire::Observation::Reader reader) -> Observation
    {
        ReportedLoad load { reader.getRunning(), reader.getWaiting(), reader.getSlots(), reader.getSlowdownPercent() / percentPerUnit };
        return { reader.getUpstream(), reader.getObject(), load, std::chrono::milliseconds(reader.getAgeMs()), reader.getIsRejection() };
    }

    // Greater figures than fit are sent as the greatest that fits.
    auto asUInt16(std::int64_t figure) -> std::uint16_t
    {
        return static_cast<std::uint16_t>(std::clamp<std::int64_t>(figure, 0, std::numeric_limits<std::uint16_t>::max()));
    }

    auto write(wire::Observation::Builder builder, const Observation& observation) -> void
    {
        const auto& load = observation.load_;
        builder.setUpstream(observation.upstream_);
        builder.setObject(observation.object_);
        builder.setSlowdownPercent(asUInt16(std::llround(load.slowdown_.value_or(0) * percentPerUnit)));
        builder.setAgeMs(asUInt16(observation.age_.count()));
        builder.setRunning(asUInt16(load.running_));
        builder.setWaiting(asUInt16(load.waiting_));
        builder.setSlots(asUInt16(load.slots_));
        builder.setIsRejection(observation.isRejection_);
    }

    auto readAsk(wire::RateAsk::Reader reader) -> RateAsk
    {
        return { reader.getNumber(), reader.getWorkspace().cStr(), reader.getWanted() };
    }

    auto readGrant(wire::RateGrant::Reader reader) -> RateGrant
    {
        return { reader.getNumber(), reader.getWorkspace().cStr(), reader.getGranted(), std::chrono::milliseconds(reader.getRetryAfterMs()) };
    }

    // Counts beyond the bounds make the entry invalid: the bounds are also those of what is written.
    auto readRoomUse(wire::RoomUse::Reader reader) -> std::optional<RoomUse>
    {
        RoomUse use { reader.getService().cStr(), {}, {} };
        const auto offered = reader.getOffered();
        const auto admitted = reader.getAdmitted();
        const auto workspaces = reader.getWorkspaces();
        if (offered.size() > roomPriorities || admitted.size() > roomPriorities || workspaces.size() > maxRoomWorkspaces)
            return std::nullopt;
        for (unsigned i = 0; i < offered.size(); ++i)
            use.priorities_.at(i).offered_ = offered[i];
        for (unsigned i = 0; i < admitted.size(); ++i)
            use.priorities_.at(i).admitted_ = admitted[i];
        for (const auto workspace : workspaces)
            use.workspaces_.push_back({ workspace.getWorkspace(), workspace.getPriority(), workspace.getOffered() });
        return isValid(use) ? std::optional(std::move(use)) : std::nullopt;
    }

    auto write(wire::RoomUse::Builder builder, const RoomUse& use) -> void
    {
        builder.setService(use.service_);
        auto offered = builder.initOffered(roomPriorities);
        auto admitted = builder.initAdmitted(roomPriorities);
        for (unsigned i = 0; i < roomPriorities; ++i) {
            offered.set(i, use.priorities_.at(i).offered_);
            admitted.set(i, use.priorities_.at(i).admitted_);
        }
        auto workspaces = builder.initWorkspaces(static_cast<unsigned>(use.workspaces_.size()));
        for (unsigned i = 0; i < workspaces.size(); ++i) {
            workspaces[i].setWorkspace(use.workspaces_[i].workspace_);
            workspaces[i].setPriority(use.workspaces_[i].priority_);
            workspaces[i].setOffered(use.workspaces_[i].offered_);
        }
    }

    // An invalid entry is left out: the rest of the heartbeat keeps the sender listed.
    auto readRoomUses(wire::Heartbeat::Reader reader, MemberReport& report) -> void
    {
        for (const auto entry : reader.getRoomUse()) {
            auto use = readRoomUse(entry);
            if (use && report.roomUse_.size() < maxRoomServices)
                report.roomUse_.push_back(std::move(*use));
            else
                ++report.invalidRoomUses_;
        }
    }

    // As with the counts above, the rest of the heartbeat is kept.
    auto readDemand(wire::Heartbeat::Reader reader, MemberReport& report) -> void
    {
        if (!reader.hasDemand())
            return;
        auto& demands = report.demand_.emplace();
        for (const auto entry : reader.getDemand()) {
            const ServiceDemand demand { entry.getService(), entry.getPerSecond() };
            if (isValid(demand) && demands.size() < maxDemandServices)
                demands.push_back(demand);
            else
                ++report.invalidDemands_;
        }
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
        for (const auto region : reader.getUnreachableRegions())
            report.unreachableRegions_.emplace_back(region.cStr());
        report.isCutOff_ = reader.getCutOff();
        report.acceptsDelegation_ = reader.getAcceptsDelegation();
        for (const auto hash : reader.getSilentMembers())
            report.silentMembers_.push_back(hash);
        for (const auto cold : reader.getColds())
            report.coldNotices_.push_back({ cold.getUpstream().cStr(), std::chrono::milliseconds(cold.getLeftMs()) });
        for (const auto limit : reader.getLimits())
            report.limitNotices_.push_back(readNotice(limit));
        for (const auto observation : reader.getObservations())
            report.observations_.push_back(readObservation(observation));
        readRoomUses(reader, report);
        readDemand(reader, report);
        return report;
    }

    auto isValid(const MemberReport& report) -> bool
    {
        return !report.name_.empty() && report.phase_ <= MemberPhase::Stopping && parseSocketAddress(formatSocketAddress(report.peer_)).has_value() && std::all_of(report.limitNotices_.begin(), report.limitNotices_.end(), [](const auto& notice) { return isValid(notice); });
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
        // Lists that are not set take fewer bytes than empty ones.
        if (!report.unreachableRegions_.empty()) {
            auto unreachable = heartbeat.initUnreachableRegions(static_cast<unsigned>(report.unreachableRegions_.size()));
            for (unsigned i = 0; i < unreachable.size(); ++i)
                unreachable.set(i, report.unreachableRegions_[i]);
        }
        heartbeat.setCutOff(report.isCutOff_);
        heartbeat.setAcceptsDelegation(report.acceptsDelegation_);
        if (!report.silentMembers_.empty()) {
            auto silent = heartbeat.initSilentMembers(static_cast<unsigned>(report.silentMembers_.size()));
            for (unsigned i = 0; i < silent.size(); ++i)
                silent.set(i, report.silentMembers_[i]);
        }
        if (!report.roomUse_.empty()) {
            auto uses = heartbeat.initRoomUse(static_cast<unsigned>(report.roomUse_.size()));
            for (unsigned i = 0; i < uses.size(); ++i)
                write(uses[i], report.roomUse_[i]);
        }
        if (report.demand_) {
            auto demands = heartbeat.initDemand(static_cast<unsigned>(report.demand_->size()));
            for (unsigned i = 0; i < demands.size(); ++i) {
                demands[i].setService((*report.demand_)[i].service_);
                demands[i].setPerSecond((*report.demand_)[i].perSecond_);
            }
        }
        auto colds = heartbeat.initColds(static_cast<unsigned>(report.coldNotices_.size()));
        for (unsigned i = 0; i < colds.size(); ++i) {
            colds[i].setUpstream(report.coldNotices_[i].upstream_);
            colds[i].setLeftMs(static_cast<std::uint32_t>(report.coldNotices_[i].left_.count()));
        }
        auto limits = heartbeat.initLimits(static_cast<unsigned>(report.limitNotices_.size()));
        for (unsigned i = 0; i < limits.size(); ++i)
            write(limits[i], report.limitNotices_[i]);
        if (report.observations_.empty())
            return;
        auto observations = heartbeat.initObservations(static_cast<unsigned>(report.observations_.size()));
        for (unsigned i = 0; i < observations.size(); ++i)
            write(observations[i], report.observations_[i]);
    }

    auto write(wire::RateAsk::Builder builder, const RateAsk& ask) -> void
    {
        builder.setNumber(ask.number_);
        builder.setWorkspace(ask.bucket_);
        builder.setWanted(ask.wanted_);
    }

    auto write(wire::RateGrant::Builder builder, const RateGrant& grant) -> void
    {
        builder.setNumber(grant.number_);
        builder.setWorkspace(grant.bucket_);
        builder.setGranted(grant.granted_);
        builder.setRetryAfterMs(static_cast<std::uint32_t>(grant.retryAfter_.count()));
    }

    auto write(wire::PeerDatagram::Builder builder, const RateAsk& ask) -> void { write(builder.initAsk(), ask); }
    auto write(wire::PeerDatagram::Builder builder, const RateGrant& grant) -> void { write(builder.initGrant(), grant); }

    auto write(wire::PeerDatagram::Builder builder, const LimitAsk& ask) -> void
    {
        auto message = builder.initLimitAsk();
        write(message.initAsk(), ask.ask_);
        write(message.initLimit(), ask.notice_);
    }

    auto write(wire::PeerDatagram::Builder builder, const LimitGrant& grant) -> void
    {
        auto message = builder.initLimitGrant();
        write(message.initGrant(), grant.grant_);
        write(message.initLimit(), grant.notice_);
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
        case wire::PeerDatagram::ASK:
            return PeerDatagram(readAsk(reader.getAsk()));
        case wire::PeerDatagram::GRANT:
            return PeerDatagram(readGrant(reader.getGrant()));
        case wire::PeerDatagram::LIMIT_ASK: {
            const LimitAsk ask { readAsk(reader.getLimitAsk().getAsk()), readNotice(reader.getLimitAsk().getLimit()) };
            return isValid(ask.notice_) ? Result<PeerDatagram, DatagramError>(PeerDatagram(ask)) : DatagramError { "invalid limit" };
        }
        case wire::PeerDatagram::LIMIT_GRANT: {
            const LimitGrant grant { readGrant(reader.getLimitGrant().getGrant()), readNotice(reader.getLimitGrant().getLimit()) };
            return isValid(grant.notice_) ? Result<PeerDatagram, DatagramError>(PeerDatagram(grant)) : DatagramError { "invalid limit" };
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
    // The canonical form leaves out what is unset at the end of a struct: a field that is added to the schema then costs no
    // bytes where it is not used.
    const auto words = capnp::canonicalize(root.asReader());
    const kj::ArrayPtr<const capnp::word> segment = words;
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, kj::arrayPtr(&segment, 1));
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

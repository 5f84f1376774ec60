#include "fleet/fleet_codec.h"

#include "wire/peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <stdexcept>

namespace sapphirepass {

namespace {
    using std::chrono::milliseconds;

    // Bounds the work that a malformed message can cause in the decoder.
    constexpr std::uint64_t maxWords = 512 * 1024;

    auto toText(const std::string& text) -> capnp::Text::Reader { return { text.data(), text.size() }; }
    auto toData(const std::string& bytes) -> capnp::Data::Reader { return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() }; }
    auto fromText(capnp::Text::Reader text) -> std::string { return { text.cStr(), text.size() }; }
    auto fromData(capnp::Data::Reader data) -> std::string { return { data.asChars().begin(), data.size() }; }
    auto toAge(milliseconds age) -> std::uint32_t { return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, UINT32_MAX)); }

    auto fromAddress(capnp::Text::Reader text) -> SocketAddress
    {
        const auto address = parseSocketAddress(std::string_view(text.cStr(), text.size()));
        if (!address)
            throw std::runtime_error("malformed address of a member");
        return *address;
    }

    auto write(wire::Digest::Builder out, const Digest& digest) -> void
    {
        out.setRevision(digest.revision_);
        out.setStateHash(digest.stateHash_);
        out.setQuestion(digest.question_);
        out.setNonce(digest.nonce_);
        out.setWithdrawalHash(digest.withdrawalHash_);
        auto hearings = out.initHearings(static_cast<unsigned>(digest.hearings_.size()));
        for (unsigned i = 0; i < hearings.size(); ++i) {
            hearings[i].setSource(digest.hearings_[i].source_);
            hearings[i].setAge(toAge(digest.hearings_[i].age_));
        }
    }

    auto read(wire::Digest::Reader in) -> Digest
    {
        Digest digest { in.getRevision(), in.getStateHash(), in.getQuestion(), in.getNonce(), in.getWithdrawalHash(), {} };
        for (const auto hearing : in.getHearings())
            digest.hearings_.push_back({ hearing.getSource(), milliseconds(hearing.getAge()) });
        return digest;
    }

    auto write(wire::Pull::Builder out, const Pull& pull) -> void
    {
        out.setAfter(pull.after_);
        out.setSnapshotRevision(pull.snapshotRevision_);
        out.setOffset(pull.offset_);
    }

    auto write(wire::Entries::Builder out, const EntryBatch& batch) -> void
    {
        out.setEntries(toData(encodeLogEntries(batch.head_.entries_)));
        out.setTree(batch.tree_);
    }

    auto read(wire::Entries::Reader in) -> EntryBatch
    {
        auto entries = decodeLogEntries(fromData(in.getEntries()));
        if (!isOk(entries))
            throw std::runtime_error(errorOf(entries).message_);
        EntryBatch batch { { 0, valueOf(std::move(entries)) }, in.getTree() };
        for (const auto& entry : batch.head_.entries_) {
            if (batch.head_.revision_ != 0 && entry.revision_ != batch.head_.revision_ + 1)
                throw std::runtime_error("revisions of the log entries are not consecutive");
            batch.head_.revision_ = entry.revision_;
        }
        return batch;
    }

    auto write(wire::SnapshotPart::Builder out, const SnapshotPart& part) -> void
    {
        out.setRevision(part.revision_);
        out.setSize(part.size_);
        out.setOffset(part.offset_);
        out.setPart(toData(part.part_));
    }

    auto write(wire::WithdrawalMessage::Builder out, const WithdrawalSet& set) -> void
    {
        auto keys = out.initKeys(static_cast<unsigned>(set.keys_.size()));
        for (unsigned i = 0; i < keys.size(); ++i) {
            keys[i].setKey(toText(set.keys_[i].key_));
            keys[i].setId(toText(set.keys_[i].id_));
            keys[i].setWho(toText(set.keys_[i].who_));
            keys[i].setFrom(toText(set.keys_[i].from_));
        }
    }

    auto read(wire::WithdrawalMessage::Reader in) -> WithdrawalSet
    {
        WithdrawalSet set;
        for (const auto key : in.getKeys())
            set.keys_.push_back({ fromText(key.getKey()), fromText(key.getId()), fromText(key.getWho()), fromText(key.getFrom()) });
        return set;
    }

    auto write(wire::Member::Builder out, const Member& member) -> void
    {
        out.setName(toText(member.id_.name_));
        out.setIncarnation(member.id_.incarnation_);
        out.setRegion(toText(member.region_));
        out.setDomain(toText(member.domain_));
        out.setHttp(toText(formatSocketAddress(member.http_)));
        out.setPeer(toText(formatSocketAddress(member.peer_)));
        out.setLeaving(member.leaving_);
        out.setRevision(member.revision_);
        out.setStateHash(member.stateHash_);
        out.setAge(toAge(member.age_));
    }

    auto read(wire::Member::Reader in) -> Member
    {
        return { { fromText(in.getName()), in.getIncarnation() }, fromText(in.getRegion()), fromText(in.getDomain()), fromAddress(in.getHttp()),
            fromAddress(in.getPeer()), in.getLeaving(), in.getRevision(), in.getStateHash(), milliseconds(in.getAge()) };
    }

    auto write(wire::InForceAsk::Builder out, const InForceAsk& ask) -> void
    {
        out.setRevision(ask.revision_);
        out.setWithdrawalHash(ask.withdrawalHash_);
    }

    auto read(wire::InForceAsk::Reader in) -> InForceAsk { return { in.getRevision(), in.getWithdrawalHash() }; }

    auto write(wire::InForceAnswer::Builder out, const InForceAnswer& answer) -> void
    {
        write(out.initAsk(), answer.ask_);
        out.setDomain(toText(answer.domain_));
        out.setConfirmed(answer.confirmed_);
        out.setTotal(answer.total_);
        auto behind = out.initBehind(static_cast<unsigned>(answer.behind_.size()));
        for (unsigned i = 0; i < behind.size(); ++i)
            behind.set(i, toText(answer.behind_[i]));
    }

    auto read(wire::InForceAnswer::Reader in) -> InForceAnswer
    {
        InForceAnswer answer { read(in.getAsk()), fromText(in.getDomain()), in.getConfirmed(), in.getTotal(), {} };
        for (const auto name : in.getBehind())
            answer.behind_.push_back(fromText(name));
        return answer;
    }

    // Serializes one message alternative and returns its topic.
    struct Writer {
        auto operator()(const Digest& digest) const -> PeerTopic
        {
            return relay([&](auto out) { write(out.initDigest(), digest); });
        }
        auto operator()(const Pull& pull) const -> PeerTopic
        {
            return relay([&](auto out) { write(out.initPull(), pull); });
        }
        auto operator()(const EntryBatch& batch) const -> PeerTopic
        {
            return relay([&](auto out) { write(out.initEntries(), batch); });
        }
        auto operator()(const SnapshotPart& part) const -> PeerTopic
        {
            return relay([&](auto out) { write(out.initSnapshot(), part); });
        }
        auto operator()(const MemberAnnouncement& report) const -> PeerTopic
        {
            return membership([&](auto out) { write(out.initReport(), report.member_); });
        }
        auto operator()(const MembersRequest&) const -> PeerTopic
        {
            return membership([&](auto out) { out.setAsk(); });
        }
        auto operator()(const InForceAsk& ask) const -> PeerTopic
        {
            return membership([&](auto out) { write(out.initInForceAsk(), ask); });
        }
        auto operator()(const InForceAnswer& answer) const -> PeerTopic
        {
            return membership([&](auto out) { write(out.initInForceAnswer(), answer); });
        }

        auto operator()(const WithdrawalSet& set) const -> PeerTopic
        {
            write(builder_.initRoot<wire::WithdrawalMessage>(), set);
            return PeerTopic::Withdrawal;
        }

        auto operator()(const MembersReply& rows) const -> PeerTopic
        {
            return membership([&](auto out) {
                auto members = out.initMembers(static_cast<unsigned>(rows.members_.size()));
                for (unsigned i = 0; i < members.size(); ++i)
                    write(members[i], rows.members_[i]);
            });
        }

        template <typename Write>
        auto relay(const Write& writeTo) const -> PeerTopic
        {
            writeTo(builder_.initRoot<wire::RelayMessage>());
            return PeerTopic::Relay;
        }

        template <typename Write>
        auto membership(const Write& writeTo) const -> PeerTopic
        {
            writeTo(builder_.initRoot<wire::MembershipMessage>());
            return PeerTopic::Membership;
        }

        capnp::MallocMessageBuilder& builder_;
    };

    auto read(wire::RelayMessage::Reader in) -> FleetMessage
    {
        switch (in.which()) {
        case wire::RelayMessage::DIGEST:
            return read(in.getDigest());
        case wire::RelayMessage::PULL:
            return Pull { in.getPull().getAfter(), in.getPull().getSnapshotRevision(), in.getPull().getOffset() };
        case wire::RelayMessage::ENTRIES:
            return read(in.getEntries());
        case wire::RelayMessage::SNAPSHOT: {
            const auto part = in.getSnapshot();
            return SnapshotPart { part.getRevision(), part.getSize(), part.getOffset(), fromData(part.getPart()) };
        }
        }
        throw std::runtime_error("unknown relay message type");
    }

    auto read(wire::MembershipMessage::Reader in) -> FleetMessage
    {
        switch (in.which()) {
        case wire::MembershipMessage::REPORT:
            return MemberAnnouncement { read(in.getReport()) };
        case wire::MembershipMessage::ASK:
            return MembersRequest {};
        case wire::MembershipMessage::MEMBERS: {
            MembersReply rows;
            for (const auto member : in.getMembers())
                rows.members_.push_back(read(member));
            return rows;
        }
        case wire::MembershipMessage::IN_FORCE_ASK:
            return read(in.getInForceAsk());
        case wire::MembershipMessage::IN_FORCE_ANSWER:
            return read(in.getInForceAnswer());
        }
        throw std::runtime_error("unknown membership message type");
    }

    auto decode(const PeerMessage& message) -> FleetMessage
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maxWords;
        kj::ArrayInputStream stream(toData(message.payload_));
        capnp::PackedMessageReader reader(stream, options);
        switch (message.topic_) {
        case PeerTopic::Relay:
            return read(reader.getRoot<wire::RelayMessage>());
        case PeerTopic::Withdrawal:
            return read(reader.getRoot<wire::WithdrawalMessage>());
        case PeerTopic::Membership:
            return read(reader.getRoot<wire::MembershipMessage>());
        default:
            throw std::runtime_error("topic does not carry fleet messages");
        }
    }
}

auto encodeFleetMessage(const FleetMessage& message) -> PeerMessage
{
    capnp::MallocMessageBuilder builder;
    const auto topic = std::visit(Writer { builder }, message);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto bytes = stream.getArray();
    return { topic, std::string(bytes.asChars().begin(), bytes.size()) };
}

auto decodeFleetMessage(const PeerMessage& message) -> Result<FleetMessage, FleetDecodeError>
{
    try {
        return decode(message);
    } catch (const std::exception& error) {
        return FleetDecodeError { error.what() };
    } catch (const kj::Exception& error) {
        return FleetDecodeError { error.getDescription().cStr() };
    }
}

} // namespace sapphirepass

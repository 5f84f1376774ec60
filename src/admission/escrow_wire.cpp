#include "admission/escrow_wire.h"

#include "wire/budget.capnp.h"

#include <algorithm>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <nlohmann/json.hpp>

namespace sapphirepass {

namespace {
    using nlohmann::json;

    auto toText(const capnp::Text::Reader& text) -> std::string
    {
        return { text.begin(), text.size() };
    }

    auto toJson(const HolderId& id) -> json
    {
        return json::array({ id.name_, id.generation_ });
    }

    auto toJson(const std::vector<HolderId>& ids) -> json
    {
        auto list = json::array();
        for (const auto& id : ids)
            list.push_back(toJson(id));
        return list;
    }

    auto toHolder(const json& value) -> HolderId
    {
        return { value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>() };
    }

    auto toHolders(const json& value) -> std::vector<HolderId>
    {
        std::vector<HolderId> ids;
        for (const auto& id : value)
            ids.push_back(toHolder(id));
        return ids;
    }

    auto isPrintable(const std::string& name) -> bool
    {
        return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 0x7f; });
    }

    // Crediting an impossible share, such as a negative fraction, would create or destroy part of a limit.
    auto isValid(const BudgetShare& share) -> bool
    {
        const auto kind = static_cast<std::uint16_t>(share.budget_.kind_);
        const bool known = kind >= static_cast<std::uint16_t>(BudgetKind::WorkspaceRate) && kind <= static_cast<std::uint16_t>(BudgetKind::UpstreamSlots);
        return known && !share.budget_.name_.empty() && isPrintable(share.budget_.name_) && share.share_.fraction_ >= 0 && share.share_.fraction_ <= fullFraction && share.share_.tokens_ >= 0;
    }

    auto isValid(const EscrowMessage& message) -> bool
    {
        const auto kind = static_cast<std::uint16_t>(message.kind_);
        const bool known = kind >= static_cast<std::uint16_t>(EscrowMessageKind::Transfer) && kind <= static_cast<std::uint16_t>(EscrowMessageKind::ReserveRequest);
        return known && isPrintable(message.recipient_.name_) && std::all_of(message.shares_.begin(), message.shares_.end(), [](const BudgetShare& share) { return isValid(share); });
    }

    auto readMessage(capnp::MessageReader& reader, const std::string& from, const std::string& to) -> EscrowMessage
    {
        const auto root = reader.getRoot<wire::BudgetMessage>();
        EscrowMessage message { static_cast<EscrowMessageKind>(root.getKind()), root.getEpoch(), { from, root.getFromNumber() }, { to, root.getToNumber() }, root.getNumber() };
        if (auto name = toText(root.getOther().getName()); !name.empty())
            message.recipient_ = { std::move(name), root.getOther().getNumber() };
        for (const auto share : root.getShares())
            message.shares_.push_back({ { static_cast<BudgetKind>(share.getKind()), toText(share.getName()) }, { share.getFraction(), share.getTokens() } });
        return message;
    }
}

auto encodeEscrowMessage(const EscrowMessage& message) -> std::string
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::BudgetMessage>();
    root.setKind(static_cast<std::uint16_t>(message.kind_));
    root.setEpoch(message.epoch_);
    root.setFromNumber(message.from_.generation_);
    root.setToNumber(message.to_.generation_);
    root.setNumber(message.number_);
    if (!message.recipient_.name_.empty()) {
        auto other = root.initOther();
        other.setName(message.recipient_.name_);
        other.setNumber(message.recipient_.generation_);
    }
    auto shares = root.initShares(static_cast<unsigned>(message.shares_.size()));
    for (unsigned i = 0; i < shares.size(); ++i) {
        const auto& [budget, share] = message.shares_[i];
        shares[i].setKind(static_cast<std::uint16_t>(budget.kind_));
        shares[i].setName(budget.name_);
        shares[i].setFraction(share.fraction_);
        shares[i].setTokens(share.tokens_);
    }
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

auto decodeEscrowMessage(const std::string& bytes, const std::string& from, const std::string& to) -> std::optional<EscrowMessage>
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in);
        auto message = readMessage(reader, from, to);
        if (!isValid(message))
            return std::nullopt;
        return message;
    } catch (const kj::Exception&) {
        return std::nullopt;
    }
}

auto encodeEpochRecord(const EpochRecord& record) -> std::string
{
    auto earlier = json::array();
    for (const auto& voters : record.earlierVoters_)
        earlier.push_back(toJson(voters));
    const json object { { "epoch", record.epoch_ }, { "issuer", toJson(record.issuer_) }, { "complete", record.complete_ },
        { "holders", toJson(record.holders_) }, { "voters", toJson(record.voters_) }, { "earlier_voters", earlier } };
    return object.dump();
}

auto decodeEpochRecord(const std::string& text) -> std::optional<EpochRecord>
{
    try {
        const auto object = json::parse(text);
        EpochRecord record { object.at("epoch"), toHolder(object.at("issuer")), object.at("complete"), toHolders(object.at("holders")), toHolders(object.at("voters")), {} };
        for (const auto& voters : object.at("earlier_voters"))
            record.earlierVoters_.push_back(toHolders(voters));
        return record;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace sapphirepass

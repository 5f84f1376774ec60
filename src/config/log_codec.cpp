#include "base/hex.h"
#include "base/texts.h"
#include "config/log_type.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sapphirepass {

namespace {
    using Json = nlohmann::json;

    constexpr int logFormat = 1;

    // Thrown inside this file only; never leaves a decoder.
    auto hashOf(const Json& json) -> std::uint64_t
    {
        const auto hash = parseHex64(json.get_ref<const std::string&>());
        if (!hash)
            throw std::invalid_argument(std::string(texts::hashMalformed));
        return *hash;
    }

    // Other numbers, such as 1e300, have no defined conversion.
    auto revisionOf(const Json& json) -> Revision
    {
        if (!json.is_number_integer() || json.get<Revision>() < 0)
            throw std::invalid_argument(std::string(texts::revisionMalformed));
        return json.get<Revision>();
    }

    auto encodeEntry(const LogEntry& entry) -> Json
    {
        return { { "revision", entry.revision_ }, { "id", entry.id_ }, { "who", entry.who_ }, { "from", entry.from_ }, { "at", entry.at_ },
            { "text", entry.text_ }, { "state_hash", formatHex64(entry.stateHash_) } };
    }

    auto decodeEntry(const Json& json) -> LogEntry
    {
        return { revisionOf(json.at("revision")), json.at("id").get<std::string>(), json.at("who").get<std::string>(),
            json.at("from").get<std::string>(), json.at("at").get<std::string>(), json.at("text").get<std::string>(), hashOf(json.at("state_hash")) };
    }

    auto encodeEntries(const std::vector<LogEntry>& entries) -> Json
    {
        auto json = Json::array();
        for (const auto& entry : entries)
            json.push_back(encodeEntry(entry));
        return json;
    }

    auto decodeEntries(const Json& json) -> std::vector<LogEntry>
    {
        std::vector<LogEntry> entries;
        for (const auto& entry : json)
            entries.push_back(decodeEntry(entry));
        return entries;
    }

    auto encodeReference(const SnapshotReference& reference) -> Json
    {
        return { { "revision", reference.revision_ }, { "state_hash", formatHex64(reference.stateHash_) }, { "chunks", reference.chunkDigests_ } };
    }

    auto decodeReference(const Json& json) -> SnapshotReference
    {
        return { revisionOf(json.at("revision")), hashOf(json.at("state_hash")), json.at("chunks").get<std::vector<std::string>>() };
    }

    // All hashes in one text, since there are many of them.
    auto encodeCutIds(const std::vector<std::uint64_t>& ids) -> std::string
    {
        std::string text;
        for (const auto id : ids)
            text += formatHex64(id);
        return text;
    }

    auto decodeCutIds(const std::string& text) -> std::vector<std::uint64_t>
    {
        std::vector<std::uint64_t> ids;
        for (std::size_t at = 0; at < text.size(); at += hex64Digits)
            ids.push_back(hashOf(text.substr(at, hex64Digits)));
        return ids;
    }

    // Whether the entries follow each other and lead on from the snapshot.
    auto isComplete(const LogHead& head) -> bool
    {
        auto expected = head.revision_ - static_cast<Revision>(head.entries_.size());
        if (expected < 0 || head.snapshot_.revision_ < expected || head.snapshot_.revision_ > head.revision_)
            return false;
        if (static_cast<Revision>(head.cutIds_.size()) > expected)
            return false;
        for (const auto& entry : head.entries_) {
            if (entry.revision_ != ++expected)
                return false;
        }
        return true;
    }

    // Runs a decoder; what its library throws becomes an error.
    template <typename T, typename Decode>
    auto guarded(std::string_view text, Decode decode) -> Result<T, LogDecodeError>
    {
        try {
            return decode(Json::parse(text));
        } catch (const Json::exception& error) {
            return LogDecodeError { error.what() };
        } catch (const std::invalid_argument& error) {
            return LogDecodeError { error.what() };
        }
    }
}

auto encodeLogHead(const LogHead& head) -> std::string
{
    const Json json { { "format", logFormat }, { "revision", head.revision_ }, { "entries", encodeEntries(head.entries_) },
        { "snapshot", encodeReference(head.snapshot_) },
        { "previous", encodeReference(head.previous_) }, { "cut_ids", encodeCutIds(head.cutIds_) } };
    return json.dump();
}

auto decodeLogHead(std::string_view text) -> Result<LogHead, LogDecodeError>
{
    return guarded<LogHead>(text, [](const Json& json) -> Result<LogHead, LogDecodeError> {
        if (json.at("format") != logFormat)
            return LogDecodeError { std::string(texts::logFormatUnknown) };
        LogHead head { revisionOf(json.at("revision")), decodeEntries(json.at("entries")), decodeReference(json.at("snapshot")),
            decodeReference(json.at("previous")),
            decodeCutIds(json.at("cut_ids").get<std::string>()) };
        if (!isComplete(head))
            return LogDecodeError { std::string(texts::logIncomplete) };
        return head;
    });
}

auto encodeLogEntries(const std::vector<LogEntry>& entries) -> std::string
{
    return encodeEntries(entries).dump();
}

auto decodeLogEntries(std::string_view text) -> Result<std::vector<LogEntry>, LogDecodeError>
{
    return guarded<std::vector<LogEntry>>(text, [](const Json& json) -> Result<std::vector<LogEntry>, LogDecodeError> { return decodeEntries(json); });
}

} // namespace sapphirepass

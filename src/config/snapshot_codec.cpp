#include "config/snapshot_codec.h"

#include "base/field.h"
#include "base/hex.h"
#include "base/text_func.h"
#include "base/texts.h"
#include "config/kind_func.h"
#include "language/command_parser.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    constexpr std::string_view formatName = "sapphirepass-snapshot";
    constexpr std::string_view formatNumber = "1";

    // sapphirepass-snapshot FORMAT REVISION HASH
    struct Header {
        Revision revision_ = 0;
        std::uint64_t stateHash_ = 0;
    };

    auto readHeader(std::string_view line) -> Result<Header, LogDecodeError>
    {
        const auto words = splitText(line, ' ');
        if (words.size() != 4 || words[0] != formatName)
            return LogDecodeError { std::string(texts::snapshotMalformed) };
        if (words[1] != formatNumber)
            return LogDecodeError { fmt::format(texts::snapshotFormatUnknown, words[1]) };
        const auto revision = parseNumber(words[2], {});
        const auto hash = parseHex64(words[3]);
        if (!revision || !hash)
            return LogDecodeError { std::string(texts::snapshotMalformed) };
        return Header { *revision, *hash };
    }

    auto readLine(const Snapshot& snapshot, std::string_view line) -> Result<Snapshot, LogDecodeError>
    {
        const auto statements = parseStatements(line);
        if (!isOk(statements))
            return LogDecodeError { errorOf(statements).message_ };
        const auto* command = std::get_if<CommandStatement>(&valueOf(statements).front());
        if (command == nullptr || valueOf(statements).size() != 1)
            return LogDecodeError { std::string(texts::snapshotMalformed) };
        auto item = parseItem(*command);
        if (!isOk(item))
            return LogDecodeError { errorOf(item).message_ };
        return std::visit([&](auto& alternative) { return snapshot.with(std::move(alternative)); }, std::get<Item>(item));
    }

    // One line at a time: the parsed form of a whole snapshot takes many times its memory.
    auto readItems(std::string_view text) -> Result<Snapshot, LogDecodeError>
    {
        Snapshot snapshot;
        while (!text.empty()) {
            const auto lineEnd = text.find('\n');
            if (lineEnd == std::string_view::npos)
                return LogDecodeError { std::string(texts::snapshotMalformed) };
            auto read = readLine(snapshot, text.substr(0, lineEnd));
            if (!isOk(read))
                return errorOf(read);
            snapshot = valueOf(std::move(read));
            text.remove_prefix(lineEnd + 1);
        }
        return snapshot;
    }
}

auto encodeSnapshot(const Snapshot& snapshot) -> std::string
{
    auto text = fmt::format("{} {} {} {}\n", formatName, formatNumber, snapshot.revision(), formatHex64(snapshot.stateHash()));
    forEachKind([&]<typename T>(std::type_identity<T>) {
        snapshot.table<T>().forEach([&text](const T& item) {
            text += canonicalText(Item { item });
            text += '\n';
        });
    });
    return text;
}

auto decodeSnapshot(std::string_view text) -> Result<Snapshot, LogDecodeError>
{
    const auto headerEnd = text.find('\n');
    if (headerEnd == std::string_view::npos)
        return LogDecodeError { std::string(texts::snapshotMalformed) };
    const auto header = readHeader(text.substr(0, headerEnd));
    if (!isOk(header))
        return errorOf(header);
    const auto items = readItems(text.substr(headerEnd + 1));
    if (!isOk(items))
        return errorOf(items);
    auto snapshot = valueOf(items).atRevision(valueOf(header).revision_);
    if (snapshot.stateHash() != valueOf(header).stateHash_)
        return LogDecodeError { std::string(texts::snapshotHashWrong) };
    return snapshot;
}

} // namespace sapphirepass

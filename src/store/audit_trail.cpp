#include "store/audit_trail.h"

#include "base/field.h"
#include "base/texts.h"
#include "language/command_parser.h"
#include "store/log_head.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace sapphirepass {

namespace {
    using Json = nlohmann::json;

    // Refused commands that are kept, and how much of each text.
    constexpr std::size_t mostRefused = 128;
    constexpr std::size_t mostRefusedText = 512;
    // Attempts against other instances that record refused commands at the same time.
    constexpr int maxRaces = 4;

    // Revisions whose pages share a prefix, so that a list of names stays short however long the trail gets.
    constexpr Revision revisionsInGroup = 10'000;

    auto groupPrefix(Revision group) -> std::string
    {
        return fmt::format("{}{:012}/", auditPagePrefix, group);
    }

    // Fixed width, so that names sort by revision.
    auto pageName(Revision first) -> std::string
    {
        return fmt::format("{}{:016}", groupPrefix(first / revisionsInGroup), first);
    }

    auto firstOf(const std::string& pageName) -> Revision
    {
        return parseNumber(std::string_view(pageName).substr(pageName.rfind('/') + 1), {}).value_or(0);
    }

    // Names of the newest pages that begin up to a revision, newest first.
    auto findPages(ObjectStore& store, Revision upTo, std::size_t mostPages) -> Result<std::vector<std::string>, StoreError>
    {
        std::vector<std::string> pages;
        for (auto group = upTo / revisionsInGroup; group >= 0 && pages.size() < mostPages; --group) {
            const auto names = store.list(groupPrefix(group));
            if (!isOk(names))
                return errorOf(names);
            for (auto name = valueOf(names).rbegin(); name != valueOf(names).rend() && pages.size() < mostPages; ++name) {
                if (firstOf(*name) <= upTo)
                    pages.push_back(*name);
            }
        }
        return pages;
    }

    auto readPage(ObjectStore& store, const std::string& name) -> Result<std::vector<LogEntry>, StoreError>
    {
        const auto object = store.read(name);
        if (!isOk(object))
            return errorOf(object);
        auto entries = decodeLogEntries(valueOf(object).value_);
        if (!isOk(entries))
            return StoreError { StoreErrorKind::Protocol, fmt::format("{}: {}", name, errorOf(entries).message_) };
        return valueOf(std::move(entries));
    }

    // Writes the entries as one page, or reads how many of them the page has that is there already.
    auto writePage(ObjectStore& store, const std::vector<LogEntry>& entries) -> Result<std::size_t, StoreError>
    {
        const auto name = pageName(entries.front().revision_);
        const auto written = store.write(name, encodeLogEntries(entries), absentVersion);
        if (isOk(written))
            return entries.size();
        if (errorOf(written).kind_ != StoreErrorKind::Conflict && errorOf(written).kind_ != StoreErrorKind::AnswerLost)
            return errorOf(written);
        const auto present = readPage(store, name);
        if (!isOk(present))
            return errorOf(present);
        const auto shared = std::min(valueOf(present).size(), entries.size());
        if (shared == 0 || !std::equal(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(shared), valueOf(present).begin()))
            return StoreError { StoreErrorKind::Conflict, fmt::format(texts::chunkDiffers, name) };
        return shared;
    }

    auto encodeRefused(const std::vector<RefusedCommand>& refused) -> std::string
    {
        auto json = Json::array();
        for (const auto& command : refused)
            json.push_back({ { "command", encodeLogEntries({ command.entry_ }) }, { "reason", command.reason_ } });
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    auto decodeRefused(std::string_view text) -> std::vector<RefusedCommand>
    {
        std::vector<RefusedCommand> refused;
        const auto json = Json::parse(text, nullptr, false);
        if (!json.is_array())
            return refused;
        for (const auto& command : json) {
            const auto entries = decodeLogEntries(command.value("command", std::string()));
            if (isOk(entries) && valueOf(entries).size() == 1)
                refused.push_back({ valueOf(entries).front(), command.value("reason", std::string()) });
        }
        return refused;
    }

    auto shortened(RefusedCommand refused) -> RefusedCommand
    {
        refused.entry_.text_.resize(std::min(refused.entry_.text_.size(), mostRefusedText));
        refused.reason_.resize(std::min(refused.reason_.size(), mostRefusedText));
        return refused;
    }
}

auto archiveEntries(ObjectStore& store, std::vector<LogEntry> entries) -> Result<Done, StoreError>
{
    while (!entries.empty()) {
        const auto archived = writePage(store, entries);
        if (!isOk(archived))
            return errorOf(archived);
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(valueOf(archived)));
    }
    return Done {};
}

auto recordRefused(ObjectStore& store, const RefusedCommand& refused) -> Result<Done, StoreError>
{
    const std::string name(refusedObjectName);
    StoreError last;
    for (int race = 0; race < maxRaces; ++race) {
        const auto object = store.read(name);
        if (!isOk(object) && errorOf(object).kind_ != StoreErrorKind::NotFound)
            return errorOf(object);
        auto kept = isOk(object) ? decodeRefused(valueOf(object).value_) : std::vector<RefusedCommand> {};
        kept.push_back(shortened(refused));
        if (kept.size() > mostRefused)
            kept.erase(kept.begin());
        const auto written = store.write(name, encodeRefused(kept), isOk(object) ? valueOf(object).version_ : absentVersion);
        if (isOk(written))
            return Done {};
        last = errorOf(written);
        if (last.kind_ != StoreErrorKind::Conflict)
            return last;
    }
    return last;
}

auto readRefused(ObjectStore& store) -> Result<std::vector<RefusedCommand>, StoreError>
{
    const auto object = store.read(std::string(refusedObjectName));
    if (isOk(object))
        return decodeRefused(valueOf(object).value_);
    if (errorOf(object).kind_ == StoreErrorKind::NotFound)
        return std::vector<RefusedCommand> {};
    return errorOf(object);
}

auto readAccepted(ObjectStore& store, Revision upTo, std::size_t mostPages) -> Result<std::vector<LogEntry>, StoreError>
{
    // The head is read first: what a cut takes out of it afterwards is in a page already.
    const auto head = readHead(store);
    if (!isOk(head))
        return errorOf(head);
    const auto pages = findPages(store, std::min(upTo, valueOf(head).head_.revision_), mostPages);
    if (!isOk(pages))
        return errorOf(pages);
    // Pages may overlap after a cut that was broken off.
    std::map<Revision, LogEntry> byRevision;
    for (const auto& entry : valueOf(head).head_.entries_)
        byRevision.emplace(entry.revision_, entry);
    for (const auto& name : valueOf(pages)) {
        const auto page = readPage(store, name);
        if (!isOk(page))
            return errorOf(page);
        for (const auto& entry : valueOf(page))
            byRevision.emplace(entry.revision_, entry);
    }
    std::vector<LogEntry> entries;
    for (auto& [revision, entry] : byRevision) {
        if (revision <= upTo)
            entries.push_back(std::move(entry));
    }
    return entries;
}

auto redactText(const std::string& text) -> std::string
{
    auto batch = parseBatch(text);
    if (!isOk(batch))
        return std::string(texts::commandsUnreadable);
    auto commands = valueOf(std::move(batch));
    for (auto& command : commands) {
        auto* declare = std::get_if<DeclareCommand>(&command);
        auto* key = declare == nullptr ? nullptr : std::get_if<Key>(&declare->item_);
        if (key != nullptr)
            *key = Key { key->name_, key->workspace_, {}, {} };
    }
    return formatBatch(commands);
}

} // namespace sapphirepass

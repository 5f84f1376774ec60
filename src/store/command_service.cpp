#include "store/command_service.h"

#include "base/event_log.h"
#include "base/texts.h"
#include "base/time_format.h"
#include "config/command_func.h"
#include "config/key_func.h"
#include "language/command_reader.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    // Attempts before a command gives up against other operators' commands.
    constexpr int maxRaces = 16;
    // Attempts to learn whether a command with a lost answer is in the log.
    constexpr int maxLookUps = 3;

    struct PreparedBatch {
        CommandBatch batch_;
        std::vector<std::string> bearers_;
    };

    // Draws the secrets of issued keys, so that the logged text is the same for every instance.
    auto prepareBatch(CommandBatch batch) -> PreparedBatch
    {
        PreparedBatch prepared { std::move(batch), {} };
        for (auto& command : prepared.batch_) {
            auto* declare = std::get_if<DeclareCommand>(&command);
            auto* key = declare == nullptr ? nullptr : std::get_if<Key>(&declare->item_);
            if (key == nullptr || !key->hash_.empty())
                continue;
            auto issued = issueKey(key->name_, key->workspace_);
            *key = issued.key_;
            prepared.bearers_.push_back(std::move(issued.bearer_));
        }
        return prepared;
    }

    auto findEntry(const LogHead& head, const std::string& id) -> const LogEntry*
    {
        const auto found = std::find_if(head.entries_.begin(), head.entries_.end(), [&id](const LogEntry& entry) { return entry.id_ == id; });
        return found == head.entries_.end() ? nullptr : &*found;
    }
}

CommandService::CommandService(ObjectStore& store, ConfigState& state, const Clock& clock)
    : store_(store)
    , state_(state)
    , clock_(clock)
{
}

auto CommandService::readHead() -> Result<ReadHead, CommandError>
{
    const auto object = store_.read(std::string(headObjectName));
    if (!isOk(object)) {
        if (errorOf(object).kind_ == StoreErrorKind::NotFound)
            return ReadHead {};
        return CommandError { CommandErrorKind::NotAccepted, std::string(texts::storeDown) };
    }
    auto head = decodeLogHead(valueOf(object).value_);
    if (!isOk(head))
        return CommandError { CommandErrorKind::NotAccepted, errorOf(head).message_ };
    return ReadHead { valueOf(std::move(head)), valueOf(object).version_ };
}

auto CommandService::append(ReadHead& read, const CommandRequest& request, const std::string& text) -> Result<Revision, StoreError>
{
    const auto revision = read.head_.revision_ + 1;
    read.head_.revision_ = revision;
    read.head_.entries_.push_back({ revision, request.id_, request.who_, request.from_, formatWallTime(clock_.wallNow()), text });
    const auto value = encodeLogHead(read.head_);
    if (value.size() > maxObjectBytes)
        return StoreError { StoreErrorKind::TooLarge, std::string(texts::headTooLarge) };
    const auto written = store_.write(std::string(headObjectName), value, read.version_);
    if (!isOk(written))
        return errorOf(written);
    return revision;
}

// The write may have taken effect. Only the log itself can tell.
auto CommandService::resolveLostAnswer(const CommandRequest& request) -> Result<Revision, CommandError>
{
    for (int attempt = 0; attempt < maxLookUps; ++attempt) {
        auto read = readHead();
        if (!isOk(read))
            continue;
        const auto& head = valueOf(read).head_;
        if (const auto* entry = findEntry(head, request.id_)) {
            const auto revision = entry->revision_;
            state_.apply(head);
            return revision;
        }
        // The store may still be working on the write, so its absence proves nothing.
    }
    return CommandError { CommandErrorKind::OutcomeUnknown, fmt::format(texts::outcomeUnknown, request.id_) };
}

auto CommandService::submit(const CommandRequest& request) -> Result<CommandAccepted, CommandError>
{
    auto batch = readBatch(request.text_);
    if (!isOk(batch))
        return CommandError { CommandErrorKind::BadCommand, renderError(errorOf(batch), request.text_) };
    const auto prepared = prepareBatch(valueOf(std::move(batch)));
    const auto text = writeBatch(prepared.batch_);
    for (int race = 0; race < maxRaces; ++race) {
        auto read = readHead();
        if (!isOk(read))
            return errorOf(read);
        auto current = valueOf(std::move(read));
        if (const auto* entry = findEntry(current.head_, request.id_))
            return CommandAccepted { entry->revision_, {} };
        const auto applied = state_.apply(current.head_);
        if (!isOk(applied))
            return CommandError { CommandErrorKind::NotAccepted, errorOf(applied).message_ };
        const auto snapshot = state_.snapshot();
        if (request.onlyAt_ && *request.onlyAt_ != snapshot->revision())
            return CommandError { CommandErrorKind::RevisionMismatch, fmt::format(texts::revisionMismatch, snapshot->revision(), *request.onlyAt_) };
        const auto tested = applyBatch(*snapshot, prepared.batch_);
        if (!isOk(tested)) {
            logEvent(EventId::CommandRefused, "id={} who={} message=\"{}\"", request.id_, request.who_, errorOf(tested).message_);
            return CommandError { CommandErrorKind::Refused, errorOf(tested).message_ };
        }
        if (request.mode_ == CommandMode::TestRun)
            return CommandAccepted { snapshot->revision(), {} };
        auto appended = append(current, request, text);
        if (isOk(appended)) {
            state_.apply(current.head_);
            logEvent(EventId::CommandAccepted, "revision={} id={} who={}", valueOf(appended), request.id_, request.who_);
            return CommandAccepted { valueOf(appended), prepared.bearers_ };
        }
        switch (errorOf(appended).kind_) {
        case StoreErrorKind::Conflict:
            continue;
        case StoreErrorKind::AnswerLost: {
            const auto resolved = resolveLostAnswer(request);
            if (!isOk(resolved))
                return errorOf(resolved);
            return CommandAccepted { valueOf(resolved), prepared.bearers_ };
        }
        default:
            return CommandError { CommandErrorKind::NotAccepted, errorOf(appended).message_ };
        }
    }
    return CommandError { CommandErrorKind::NotAccepted, std::string(texts::tooManyRaces) };
}

} // namespace sapphirepass

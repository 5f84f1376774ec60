#include "store/command_service.h"

#include "base/event_log.h"
#include "base/texts.h"
#include "base/time_format.h"
#include "config/command_func.h"
#include "config/field_table.h"
#include "config/key_func.h"
#include "language/command_parser.h"
#include "store/audit_trail.h"
#include "store/snapshot_store.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    using Outcome = Result<CommandAccepted, CommandError>;

    // Attempts before a command gives up against other operators' commands and lost answers.
    constexpr int maxAttempts = 16;

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

    auto refusal(CommandErrorKind kind, std::string_view message) -> CommandError
    {
        return { kind, std::string(message) };
    }

    auto isOperatorName(std::string_view text) -> bool
    {
        constexpr std::size_t maxLength = 64;
        const auto printable = [](unsigned char c) { return c > ' ' && c <= '~'; };
        return !text.empty() && text.size() <= maxLength && std::all_of(text.begin(), text.end(), printable);
    }

    // Both go into the log, which every instance must be able to read.
    auto checkNames(const CommandRequest& request) -> std::optional<CommandError>
    {
        if (!isName(request.id_))
            return refusal(CommandErrorKind::BadCommand, texts::commandIdInvalid);
        if (!isOperatorName(request.who_))
            return refusal(CommandErrorKind::BadCommand, texts::operatorNameInvalid);
        return std::nullopt;
    }
}

// One command on its way into the log.
struct CommandService::Attempt {
    const CommandRequest& request_;
    PreparedBatch prepared_;
    std::string text_;
    // An earlier attempt of this command may still have taken effect.
    bool mayHaveTakenEffect_ = false;
    // The store has answered the last attempt with an older log than this instance has applied.
    bool storeBehind_ = false;

    // What a failure to go on means for the operator.
    auto failure(std::string_view message) const -> CommandError
    {
        if (mayHaveTakenEffect_)
            return { CommandErrorKind::OutcomeUnknown, fmt::format(texts::outcomeUnknown, request_.id_) };
        return refusal(CommandErrorKind::NotAccepted, message);
    }

    // The answer for a command whose id is in the log already.
    auto repeated(const LogHead& head, Revision revision) const -> Outcome
    {
        const auto* entry = findEntry(head, revision);
        if (entry != nullptr && redactText(entry->text_) != redactText(text_))
            return CommandError { CommandErrorKind::Refused, fmt::format(texts::commandIdUsed, request_.id_, revision) };
        // Only the text that this very call has written holds the hashes of the secrets that it drew.
        const bool mine = entry != nullptr && entry->text_ == text_;
        return CommandAccepted { revision, mine ? prepared_.bearers_ : std::vector<std::string> {} };
    }
};

CommandService::CommandService(ObjectStore& store, ConfigState& state, const Clock& clock, const LogBounds& bounds)
    : store_(store)
    , state_(state)
    , clock_(clock)
    , bounds_(bounds)
{
}

auto CommandService::makeEntry(const CommandRequest& request, Revision revision, const std::string& text) const -> LogEntry
{
    return { revision, request.id_, request.who_, request.from_, formatWallTime(clock_.wallNow()), text };
}

auto CommandService::cut(std::size_t extraBytes) -> bool
{
    const auto result = cutLog(store_, state_, bounds_, extraBytes);
    if (!isOk(result))
        logEvent(EventId::LogCutFailed, "message=\"{}\"", errorOf(result).message_);
    return isOk(result) && valueOf(result);
}

auto CommandService::testRun(const Attempt& attempt) -> Result<Snapshot, CommandError>
{
    const auto snapshot = state_.snapshot();
    const auto onlyAt = attempt.request_.onlyAt_;
    if (onlyAt && *onlyAt != snapshot->revision())
        return CommandError { CommandErrorKind::RevisionMismatch, fmt::format(texts::revisionMismatch, snapshot->revision(), *onlyAt) };
    auto tested = applyBatch(*snapshot, attempt.prepared_.batch_);
    if (!isOk(tested)) {
        const auto& text = attempt.request_.text_;
        const auto place = locationOfCommand(text, errorOf(tested).position_);
        return CommandError { CommandErrorKind::Refused, renderError({ place, errorOf(tested).message_ }, text) };
    }
    return valueOf(std::move(tested));
}

// Every update is conditional on the version that was read, so an update whose answer was lost can be
// followed by another attempt: at most one of them takes effect, and the next read tells which.
auto CommandService::append(Attempt& attempt, StoredHead current, const Snapshot& next) -> std::optional<Outcome>
{
    auto entry = makeEntry(attempt.request_, next.revision(), attempt.text_);
    entry.stateHash_ = next.stateHash();
    current.head_.revision_ = next.revision();
    current.head_.entries_.push_back(std::move(entry));
    const auto value = encodeLogHead(current.head_);
    if (value.size() > maxObjectBytes) {
        if (cut(attempt.text_.size() + maxObjectBytes / 64))
            return std::nullopt;
        return attempt.failure(texts::commandLogFull);
    }
    const auto written = store_.write(std::string(headObjectName), value, current.version_);
    if (isOk(written)) {
        state_.apply(current.head_);
        logEvent(EventId::CommandAccepted, "revision={} id={} who={}", next.revision(), attempt.request_.id_, attempt.request_.who_);
        if (needsCut(current.head_, bounds_))
            cut(0);
        return CommandAccepted { next.revision(), attempt.prepared_.bearers_ };
    }
    switch (errorOf(written).kind_) {
    case StoreErrorKind::AnswerLost:
        attempt.mayHaveTakenEffect_ = true;
        return std::nullopt;
    case StoreErrorKind::Conflict:
        return std::nullopt;
    default:
        return attempt.failure(errorOf(written).message_);
    }
}

auto CommandService::attempt(Attempt& attempt) -> std::optional<Outcome>
{
    auto read = readHead(store_);
    if (!isOk(read))
        return attempt.failure(errorOf(read).kind_ == StoreErrorKind::Protocol ? std::string_view(errorOf(read).message_) : texts::storeUnreachable);
    auto current = valueOf(std::move(read));
    if (const auto revision = findCommandId(current.head_, attempt.request_.id_)) {
        catchUp(store_, state_, current.head_);
        return attempt.repeated(current.head_, revision);
    }
    const auto applied = catchUp(store_, state_, current.head_);
    attempt.storeBehind_ = !isOk(applied) && errorOf(applied).kind_ == ApplyErrorKind::Stale;
    if (attempt.storeBehind_)
        return std::nullopt;
    if (!isOk(applied))
        return attempt.failure(errorOf(applied).message_);
    auto tested = testRun(attempt);
    if (!isOk(tested))
        return errorOf(tested);
    if (valueOf(tested).revision() != current.head_.revision_ + 1)
        return std::nullopt;
    if (attempt.request_.mode_ == CommandMode::TestRun)
        return CommandAccepted { current.head_.revision_, {} };
    return append(attempt, std::move(current), valueOf(tested));
}

auto CommandService::recordRefusal(const Attempt& attempt, const CommandError& error) -> void
{
    logEvent(EventId::CommandRefused, "id={} who={} message=\"{}\"", attempt.request_.id_, attempt.request_.who_, error.message_);
    const auto entry = makeEntry(attempt.request_, state_.snapshot()->revision(), redactText(attempt.text_));
    const auto recorded = recordRefused(store_, { entry, error.message_ });
    if (!isOk(recorded))
        logEvent(EventId::AuditWriteFailed, "id={} message=\"{}\"", attempt.request_.id_, errorOf(recorded).message_);
}

auto CommandService::submit(const CommandRequest& request) -> Outcome
{
    if (auto error = checkNames(request))
        return *error;
    auto batch = parseBatch(request.text_);
    if (!isOk(batch))
        return CommandError { CommandErrorKind::BadCommand, renderError(errorOf(batch), request.text_) };
    auto prepared = prepareBatch(valueOf(std::move(batch)));
    auto text = formatBatch(prepared.batch_);
    Attempt command { request, std::move(prepared), std::move(text) };
    for (int count = 0; count < maxAttempts; ++count) {
        const auto outcome = attempt(command);
        if (!outcome)
            continue;
        const bool real = request.mode_ == CommandMode::Real;
        if (real && !isOk(*outcome) && (errorOf(*outcome).kind_ == CommandErrorKind::Refused || errorOf(*outcome).kind_ == CommandErrorKind::RevisionMismatch))
            recordRefusal(command, errorOf(*outcome));
        return *outcome;
    }
    return command.failure(command.storeBehind_ ? texts::storeLogOutdated : texts::tooManyConflicts);
}

} // namespace sapphirepass

#include "language/command_parser.h"

#include "base/texts.h"
#include "config/kind_func.h"
#include "config/snapshot.h"

#include <fmt/format.h>
#include <optional>
#include <set>

namespace sapphirepass {

namespace {
    constexpr std::string_view nameExpected = "letters, digits, '-', '_' and '.', at most 64";
    constexpr std::string_view prefixExpected = "an IPv4 prefix such as 10.1.0.0/16";

    template <typename... Args>
    auto errorAt(const Word& word, fmt::format_string<Args...> format, Args&&... args) -> LanguageError
    {
        return { word.location_, fmt::format(format, std::forward<Args>(args)...) };
    }

    template <typename T>
    auto checkName(const Word& name) -> std::optional<LanguageError>
    {
        constexpr bool isBlock = std::is_same_v<T, ClientBlock>;
        if (isBlock ? isIpv4Prefix(name.text_) : isName(name.text_))
            return std::nullopt;
        return errorAt(name, texts::nameInvalid, name.text_, kindName<T>(), isBlock ? prefixExpected : nameExpected);
    }

    template <typename T>
    auto checkAttributes(const CommandStatement& statement) -> std::optional<LanguageError>
    {
        std::set<std::string> seen;
        for (const auto& attribute : statement.attributes_) {
            const auto* field = findField<T>(attribute.name_.text_);
            if (field == nullptr)
                return errorAt(attribute.name_, texts::fieldUnknown, kindName<T>(), attribute.name_.text_, fieldNames<T>());
            if (!seen.insert(attribute.name_.text_).second)
                return errorAt(attribute.name_, texts::fieldDuplicate, attribute.name_.text_);
            T scratch;
            if (!field->parse_(*field, attribute.value_.text_, scratch))
                return errorAt(attribute.value_, texts::fieldValueInvalid, field->name_, kindName<T>(), field->expected_, attribute.value_.text_);
        }
        return std::nullopt;
    }

    template <typename T>
    auto parseDeclaration(const CommandStatement& statement) -> Result<Item, LanguageError>
    {
        T item;
        item.name_ = statement.name_.text_;
        std::set<std::string_view> given;
        for (const auto& attribute : statement.attributes_) {
            const auto* field = findField<T>(attribute.name_.text_);
            field->parse_(*field, attribute.value_.text_, item);
            given.insert(field->name_);
        }
        for (const auto& field : fieldsOf<T>()) {
            if (field.presence_ == Presence::Required && !given.contains(field.name_))
                return errorAt(statement.name_, texts::fieldMissing, kindName<T>(), item.name_, field.name_, field.expected_);
        }
        return Item { std::move(item) };
    }

    auto toDeclare(Result<Item, LanguageError> item) -> Result<Command, LanguageError>
    {
        if (!isOk(item))
            return errorOf(item);
        return Command { DeclareCommand { valueOf(std::move(item)) } };
    }

    auto parseChange(const CommandStatement& statement) -> Command
    {
        ChangeCommand change { statement.kind_.text_, statement.name_.text_, {} };
        for (const auto& attribute : statement.attributes_)
            change.changes_.push_back({ attribute.name_.text_, attribute.value_.text_ });
        return change;
    }

    template <typename T>
    auto parseForKind(const CommandStatement& statement) -> Result<Command, LanguageError>
    {
        const auto& verb = statement.verb_.text_;
        if (auto error = checkName<T>(statement.name_))
            return *error;
        if (auto error = checkAttributes<T>(statement))
            return *error;
        if (verb == "declare" || verb == "issue")
            return toDeclare(parseDeclaration<T>(statement));
        if (verb == "change")
            return parseChange(statement);
        if (verb == "retire")
            return Command { RetireCommand { statement.kind_.text_, statement.name_.text_, statement.force_ } };
        return Command { WithdrawKeyCommand { statement.name_.text_ } };
    }

    // issue and withdraw apply to keys only, force to retire only, and change needs a field.
    auto checkVerb(const CommandStatement& statement) -> std::optional<LanguageError>
    {
        const auto& verb = statement.verb_.text_;
        if (statement.kind_.text_ == kindName<WithdrawnKey>())
            return LanguageError { statement.kind_.location_, std::string(texts::withdrawnKeyVerb) };
        const bool isKey = statement.kind_.text_ == kindName<Key>();
        if ((verb == "issue" || verb == "withdraw") && !isKey)
            return LanguageError { statement.kind_.location_, fmt::format(texts::verbForKeysOnly, verb) };
        if (verb == "change" && isKey)
            return LanguageError { statement.kind_.location_, std::string(texts::keyNotChangeable) };
        if (verb == "change" && statement.attributes_.empty())
            return LanguageError { statement.name_.location_, std::string(texts::changeNeedsField) };
        if (statement.force_ && verb != "retire")
            return LanguageError { statement.verb_.location_, std::string(texts::forceForRetire) };
        if ((verb == "retire" || verb == "withdraw") && !statement.attributes_.empty())
            return LanguageError { statement.attributes_.front().name_.location_, fmt::format(texts::noFieldAfter, verb) };
        return std::nullopt;
    }

    auto formatCommand(const DeclareCommand& command) -> std::string { return canonicalText(command.item_); }

    auto formatCommand(const ChangeCommand& command) -> std::string
    {
        auto text = fmt::format("change {} {}", command.kind_, command.name_);
        for (const auto& change : command.changes_)
            text += fmt::format(" {} {}", change.field_, change.value_);
        return text;
    }

    auto formatCommand(const RetireCommand& command) -> std::string
    {
        return fmt::format("retire {} {}{}", command.kind_, command.name_, command.force_ ? " force" : "");
    }

    auto formatCommand(const WithdrawKeyCommand& command) -> std::string { return fmt::format("withdraw key {}", command.name_); }
}

auto parseCommand(const CommandStatement& statement) -> Result<Command, LanguageError>
{
    if (auto error = checkVerb(statement))
        return *error;
    Result<Command, LanguageError> result = errorAt(statement.kind_, texts::kindUnknown, statement.kind_.text_, kindNames());
    withKind(statement.kind_.text_, [&]<typename T>(std::type_identity<T>) { result = parseForKind<T>(statement); });
    return result;
}

auto parseItem(const CommandStatement& statement) -> Result<Item, LanguageError>
{
    if (statement.verb_.text_ != "declare")
        return LanguageError { statement.verb_.location_, fmt::format(texts::expectedToken, "declare") };
    Result<Item, LanguageError> result = errorAt(statement.kind_, texts::kindUnknown, statement.kind_.text_, kindNames());
    withKind(statement.kind_.text_, [&]<typename T>(std::type_identity<T>) {
        if (auto error = checkName<T>(statement.name_))
            result = *error;
        else if (auto broken = checkAttributes<T>(statement))
            result = *broken;
        else
            result = parseDeclaration<T>(statement);
    });
    return result;
}

auto parseBatch(std::string_view text) -> Result<CommandBatch, LanguageError>
{
    const auto statements = parseStatements(text);
    if (!isOk(statements))
        return errorOf(statements);
    CommandBatch batch;
    for (const auto& statement : valueOf(statements)) {
        const auto* command = std::get_if<CommandStatement>(&statement);
        if (command == nullptr)
            return LanguageError { std::get<QueryStatement>(statement).subject_.location_, std::string(texts::queryInBatch) };
        auto parsed = parseCommand(*command);
        if (!isOk(parsed))
            return errorOf(parsed);
        batch.push_back(valueOf(std::move(parsed)));
    }
    return batch;
}

auto locationOfCommand(std::string_view text, std::size_t index) -> SourceLocation
{
    const auto statements = parseStatements(text);
    if (!isOk(statements) || index >= valueOf(statements).size())
        return {};
    const auto* command = std::get_if<CommandStatement>(&valueOf(statements)[index]);
    return command == nullptr ? SourceLocation {} : command->name_.location_;
}

auto formatBatch(const CommandBatch& batch) -> std::string
{
    std::string text;
    for (const auto& command : batch) {
        text += text.empty() ? "" : "; ";
        text += std::visit([](const auto& alternative) { return formatCommand(alternative); }, command);
    }
    return text;
}

} // namespace sapphirepass

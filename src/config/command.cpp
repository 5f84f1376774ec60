#include "base/texts.h"
#include "config/command_func.h"
#include "config/kind_func.h"
#include "config/reference_type.h"

#include <fmt/format.h>
#include <optional>

namespace sapphirepass {

namespace {
    using Outcome = Result<Snapshot, ConfigError>;

    auto unknownItem(std::string_view kind, std::string_view name) -> ConfigError
    {
        return { ConfigErrorKind::UnknownItem, fmt::format(texts::itemNotDeclared, kind, name) };
    }

    auto unknownKind(std::string_view kind) -> ConfigError
    {
        return { ConfigErrorKind::UnknownItem, fmt::format(texts::kindUnknown, kind, kindNames()) };
    }

    auto missingReference(const Snapshot& snapshot, std::string_view kind, std::string_view name, const Item& item) -> std::optional<ConfigError>
    {
        for (const auto& reference : referencesOf(item)) {
            if (!isDeclared(snapshot, reference))
                return ConfigError { ConfigErrorKind::UnknownReference, fmt::format(texts::referenceUnknown, kind, name, reference.kind_, reference.name_) };
        }
        return std::nullopt;
    }

    // Rules that concern one kind only. The generic overload accepts everything.
    template <typename T>
    auto brokenRule(const Snapshot&, const T&) -> std::optional<ConfigError>
    {
        return std::nullopt;
    }

    template <>
    auto brokenRule(const Snapshot& snapshot, const Key& key) -> std::optional<ConfigError>
    {
        if (snapshot.find<WithdrawnKey>(key.name_) == nullptr)
            return std::nullopt;
        return ConfigError { ConfigErrorKind::KeyWithdrawn, fmt::format(texts::keyWithdrawn, key.name_) };
    }

    template <>
    auto brokenRule(const Snapshot& snapshot, const Route& route) -> std::optional<ConfigError>
    {
        std::optional<ConfigError> error;
        snapshot.table<Route>().forEach([&](const Route& other) {
            if (other.name_ != route.name_ && other.path_ == route.path_)
                error = ConfigError { ConfigErrorKind::BadValue, fmt::format(texts::pathTaken, route.path_, other.name_) };
        });
        return error;
    }

    template <typename T>
    auto requireTwoRegions(const T& item) -> std::optional<ConfigError>
    {
        if (item.from_ != item.to_)
            return std::nullopt;
        return ConfigError { ConfigErrorKind::BadValue, fmt::format(texts::regionsEqual, kindName<T>(), item.name_) };
    }

    template <>
    auto brokenRule(const Snapshot&, const Link& link) -> std::optional<ConfigError> { return requireTwoRegions(link); }
    template <>
    auto brokenRule(const Snapshot&, const Move& move) -> std::optional<ConfigError> { return requireTwoRegions(move); }

    // Puts an item into the snapshot if it refers only to declared items and breaks no rule.
    template <typename T>
    auto place(const Snapshot& snapshot, const T& item) -> Outcome
    {
        if (auto error = missingReference(snapshot, kindName<T>(), item.name_, item))
            return *error;
        if (auto error = brokenRule(snapshot, item))
            return *error;
        return snapshot.with(item);
    }

    auto apply(const Snapshot& snapshot, const DeclareCommand& command) -> Outcome
    {
        return std::visit([&]<typename T>(const T& item) -> Outcome {
            if (snapshot.find<T>(item.name_) != nullptr)
                return ConfigError { ConfigErrorKind::AlreadyDeclared, fmt::format(texts::itemAlreadyDeclared, kindName<T>(), item.name_) };
            return place(snapshot, item);
        },
            command.item_);
    }

    template <typename T>
    auto changeItem(const Snapshot& snapshot, const ChangeCommand& command) -> Outcome
    {
        const auto* old = snapshot.find<T>(command.name_);
        if (old == nullptr)
            return unknownItem(command.kind_, command.name_);
        T item = *old;
        for (const auto& change : command.changes_) {
            const auto* field = findField<T>(change.field_);
            if (field == nullptr)
                return ConfigError { ConfigErrorKind::BadValue, fmt::format(texts::fieldUnknown, command.kind_, change.field_, fieldNames<T>()) };
            if (!field->parse_(*field, change.value_, item))
                return ConfigError { ConfigErrorKind::BadValue, fmt::format(texts::fieldValueInvalid, field->name_, command.kind_, field->expected_, change.value_) };
        }
        return place(snapshot, item);
    }

    auto apply(const Snapshot& snapshot, const ChangeCommand& command) -> Outcome
    {
        Outcome outcome = unknownKind(command.kind_);
        withKind(command.kind_, [&]<typename T>(std::type_identity<T>) { outcome = changeItem<T>(snapshot, command); });
        return outcome;
    }

    auto withdrawKey(const Snapshot& snapshot, std::string_view name) -> Snapshot
    {
        return snapshot.without<Key>(name).with(WithdrawnKey { std::string(name) });
    }

    auto apply(const Snapshot& snapshot, const WithdrawKeyCommand& command) -> Outcome
    {
        if (snapshot.find<Key>(command.name_) == nullptr)
            return unknownItem(kindName<Key>(), command.name_);
        return withdrawKey(snapshot, command.name_);
    }

    auto listNames(const std::vector<Reference>& users) -> std::string
    {
        constexpr std::size_t mostListed = 10;
        std::string names;
        for (std::size_t i = 0; i < users.size() && i < mostListed; ++i)
            names += fmt::format("{}{} '{}'", i == 0 ? "" : ", ", users[i].kind_, users[i].name_);
        if (users.size() > mostListed)
            names += fmt::format(" and {} more", users.size() - mostListed);
        return names;
    }

    auto removeItem(const Snapshot& snapshot, const Reference& item) -> Snapshot
    {
        if (item.kind_ == kindName<Key>())
            return withdrawKey(snapshot, item.name_);
        auto changed = snapshot;
        withKind(item.kind_, [&]<typename T>(std::type_identity<T>) { changed = snapshot.without<T>(item.name_); });
        return changed;
    }

    auto removeWithUsers(const Snapshot& snapshot, const Reference& item) -> Snapshot
    {
        auto changed = snapshot;
        for (const auto& user : usersOf(snapshot, item))
            changed = removeWithUsers(changed, user);
        return removeItem(changed, item);
    }

    auto apply(const Snapshot& snapshot, const RetireCommand& command) -> Outcome
    {
        const Reference item { command.kind_, command.name_ };
        if (!withKind(command.kind_, [](auto) {}))
            return unknownKind(command.kind_);
        if (!isDeclared(snapshot, item) || command.kind_ == kindName<WithdrawnKey>())
            return unknownItem(command.kind_, command.name_);
        const auto users = usersOf(snapshot, item);
        if (!users.empty() && !command.force_)
            return ConfigError { ConfigErrorKind::StillUsed, fmt::format(texts::itemInUse, command.kind_, command.name_, listNames(users)) };
        return removeWithUsers(snapshot, item);
    }
}

auto applyCommand(const Snapshot& snapshot, const Command& command) -> Result<Snapshot, ConfigError>
{
    return std::visit([&](const auto& alternative) { return apply(snapshot, alternative); }, command);
}

auto applyBatch(const Snapshot& snapshot, const CommandBatch& batch) -> Result<Snapshot, ConfigError>
{
    auto changed = snapshot;
    for (std::size_t position = 0; position < batch.size(); ++position) {
        auto outcome = applyCommand(changed, batch[position]);
        if (!isOk(outcome)) {
            auto error = errorOf(outcome);
            error.position_ = position;
            return error;
        }
        changed = valueOf(std::move(outcome));
    }
    return changed.atRevision(snapshot.revision() + 1);
}

} // namespace sapphirepass

// The configuration at one revision. Immutable; every instance at the same revision holds an equal one.
#pragma once

#include "config/config_type.h"
#include "config/table.h"

#include <cstdint>
#include <tuple>

namespace sapphirepass {

using Revision = std::int64_t;

class Snapshot {
public:
    auto revision() const -> Revision { return revision_; }
    // Equal on all instances that are at the same revision; a difference means that they diverged.
    auto stateHash() const -> std::uint64_t;

    template <typename T>
    auto table() const -> const Table<T>& { return std::get<Table<T>>(tables_); }

    template <typename T>
    auto find(std::string_view name) const -> const T* { return table<T>().find(name); }

    // Each returns a changed copy; the revision is unchanged.
    template <typename T>
    auto with(T item) const -> Snapshot;
    template <typename T>
    auto without(std::string_view name) const -> Snapshot;
    auto atRevision(Revision revision) const -> Snapshot;

private:
    std::tuple<Table<Region>, Table<FailureDomain>, Table<Link>, Table<Workspace>, Table<Key>, Table<WithdrawnKey>,
        Table<Upstream>, Table<Route>, Table<Move>, Table<ClientBlock>>
        tables_;
    Revision revision_ = 0;
    // Sum of the items' hashes, kept up to date with each change.
    std::uint64_t contentHash_ = 0;
};

// Declares an item; the text is the same on every instance: declare KIND NAME FIELD VALUE ...
// Optional fields at their default are left out, so that versions with more of them agree on the state hash.
auto canonicalText(const Item& item) -> std::string;

template <typename T>
auto itemHash(const T& item) -> std::uint64_t;

template <typename T>
auto Snapshot::with(T item) const -> Snapshot
{
    auto changed = *this;
    auto& table = std::get<Table<T>>(changed.tables_);
    if (const auto* old = table.find(item.name_))
        changed.contentHash_ -= itemHash(*old);
    changed.contentHash_ += itemHash(item);
    table = table.with(std::move(item));
    return changed;
}

template <typename T>
auto Snapshot::without(std::string_view name) const -> Snapshot
{
    auto changed = *this;
    auto& table = std::get<Table<T>>(changed.tables_);
    if (const auto* old = table.find(name))
        changed.contentHash_ -= itemHash(*old);
    table = table.without(name);
    return changed;
}

auto hashText(std::string_view text) -> std::uint64_t;

template <typename T>
auto itemHash(const T& item) -> std::uint64_t
{
    return hashText(canonicalText(Item { item }));
}

} // namespace sapphirepass

// An immutable map from name to item; changed versions share the unchanged items.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace sapphirepass {

template <typename T>
class Table {
public:
    using Rows = std::map<std::string, std::shared_ptr<const T>, std::less<>>;

    Table()
        : rows_(std::make_shared<const Rows>())
    {
    }

    // The item of that name, or null.
    auto find(std::string_view name) const -> const T*
    {
        const auto row = rows_->find(name);
        return row == rows_->end() ? nullptr : row->second.get();
    }

    auto with(T item) const -> Table
    {
        auto rows = std::make_shared<Rows>(*rows_);
        auto name = item.name_;
        (*rows)[std::move(name)] = std::make_shared<const T>(std::move(item));
        return Table(std::move(rows));
    }

    auto without(std::string_view name) const -> Table
    {
        auto rows = std::make_shared<Rows>(*rows_);
        if (const auto row = rows->find(name); row != rows->end())
            rows->erase(row);
        return Table(std::move(rows));
    }

    auto size() const -> std::size_t { return rows_->size(); }

    // Calls visit(item) for each item in the order of names.
    template <typename Visit>
    auto forEach(Visit visit) const -> void
    {
        for (const auto& [name, item] : *rows_)
            visit(*item);
    }

private:
    explicit Table(std::shared_ptr<const Rows> rows)
        : rows_(std::move(rows))
    {
    }

    std::shared_ptr<const Rows> rows_;
};

} // namespace sapphirepass

// An immutable map from name to item; changed versions share the unchanged items.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

// Items in the order of names, in chunks that versions share: a change copies one chunk and the list of chunks.
template <typename T>
class Table {
public:
    Table() = default;

    // The item of that name, or null.
    auto find(std::string_view name) const -> const T*
    {
        if (chunks_->empty())
            return nullptr;
        const auto& chunk = *(*chunks_)[chunkFor(name)];
        const auto row = rowFor(chunk, name);
        return row < chunk.size() && chunk[row]->name_ == name ? chunk[row].get() : nullptr;
    }

    auto with(T item) const -> Table
    {
        auto changed = std::make_shared<Chunks>(*chunks_);
        const bool isNew = find(item.name_) == nullptr;
        if (changed->empty())
            changed->push_back(std::make_shared<const Chunk>());
        const auto at = chunkFor(item.name_);
        auto chunk = std::make_shared<Chunk>(*(*changed)[at]);
        const auto row = chunk->begin() + static_cast<Distance>(rowFor(*chunk, item.name_));
        if (isNew)
            chunk->insert(row, std::make_shared<const T>(std::move(item)));
        else
            *row = std::make_shared<const T>(std::move(item));
        replaceChunk(*changed, at, std::move(chunk));
        return Table(std::move(changed), size_ + (isNew ? 1 : 0));
    }

    auto without(std::string_view name) const -> Table
    {
        if (find(name) == nullptr)
            return *this;
        auto changed = std::make_shared<Chunks>(*chunks_);
        const auto at = chunkFor(name);
        auto chunk = std::make_shared<Chunk>(*(*changed)[at]);
        chunk->erase(chunk->begin() + static_cast<Distance>(rowFor(*chunk, name)));
        replaceChunk(*changed, at, std::move(chunk));
        return Table(std::move(changed), size_ - 1);
    }

    auto size() const -> std::size_t { return size_; }

    // Calls visit(item) for each item in the order of names.
    template <typename Visit>
    auto forEach(Visit visit) const -> void
    {
        for (const auto& chunk : *chunks_) {
            for (const auto& item : *chunk)
                visit(*item);
        }
    }

private:
    // Never empty, sorted by name.
    using Chunk = std::vector<std::shared_ptr<const T>>;
    using Chunks = std::vector<std::shared_ptr<const Chunk>>;
    using Distance = typename Chunk::difference_type;

    // About the square root of the most items, so that a change copies little of either kind.
    static constexpr std::size_t mostInChunk = 512;
    // A chunk that shrinks to this joins its neighbour if both fit into one half.
    static constexpr std::size_t fewInChunk = mostInChunk / 8;

    Table(std::shared_ptr<const Chunks> chunks, std::size_t size)
        : chunks_(std::move(chunks))
        , size_(size)
    {
    }

    // The chunk that holds the name if any does; there must be at least one.
    auto chunkFor(std::string_view name) const -> std::size_t
    {
        const auto behind = std::upper_bound(chunks_->begin(), chunks_->end(), name, [](std::string_view wanted, const auto& chunk) { return wanted < chunk->front()->name_; });
        return behind == chunks_->begin() ? 0 : static_cast<std::size_t>(behind - chunks_->begin()) - 1;
    }

    // The first row whose name is not below the given one.
    static auto rowFor(const Chunk& chunk, std::string_view name) -> std::size_t
    {
        const auto row = std::lower_bound(chunk.begin(), chunk.end(), name, [](const auto& item, std::string_view wanted) { return item->name_ < wanted; });
        return static_cast<std::size_t>(row - chunk.begin());
    }

    static auto replaceChunk(Chunks& chunks, std::size_t at, std::shared_ptr<Chunk> chunk) -> void
    {
        const auto place = chunks.begin() + static_cast<Distance>(at);
        if (chunk->empty()) {
            chunks.erase(place);
            return;
        }
        if (chunk->size() > mostInChunk) {
            const auto middle = chunk->begin() + static_cast<Distance>(chunk->size() / 2);
            *place = std::make_shared<const Chunk>(chunk->begin(), middle);
            chunks.insert(place + 1, std::make_shared<const Chunk>(middle, chunk->end()));
            return;
        }
        const bool joins = chunk->size() <= fewInChunk && at + 1 < chunks.size() && chunk->size() + (*(place + 1))->size() <= mostInChunk / 2;
        if (joins) {
            chunk->insert(chunk->end(), (*(place + 1))->begin(), (*(place + 1))->end());
            chunks.erase(place + 1);
        }
        chunks[at] = std::move(chunk);
    }

    std::shared_ptr<const Chunks> chunks_ = std::make_shared<const Chunks>();
    std::size_t size_ = 0;
};

} // namespace sapphirepass

// A map of bounded size that evicts the least recently used entry.
#pragma once

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstddef>

namespace sapphirepass {

template <typename Key, typename Value>
class LruMap {
public:
    explicit LruMap(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    // Null if there is none. Does not count as a use.
    auto find(const Key& key) const -> const Value*
    {
        const auto& byKey = entries_.template get<1>();
        const auto found = byKey.find(key);
        return found == byKey.end() ? nullptr : &found->value_;
    }

    // The value of a key, as the most recently used; a new one if there is none.
    auto use(const Key& key) -> Value&
    {
        const auto [entry, isNew] = entries_.push_front(Entry { key, Value {} });
        if (!isNew)
            entries_.relocate(entries_.begin(), entry);
        else if (entries_.size() > capacity_)
            entries_.pop_back();
        return entries_.front().value_;
    }

    auto size() const -> std::size_t { return entries_.size(); }

private:
    struct Entry {
        Key key_;
        // No index depends on the value.
        mutable Value value_;
    };
    using Entries = boost::multi_index_container<Entry, boost::multi_index::indexed_by<boost::multi_index::sequenced<>, boost::multi_index::hashed_unique<boost::multi_index::member<Entry, Key, &Entry::key_>>>>;

    std::size_t capacity_;
    Entries entries_;
};

} // namespace sapphirepass

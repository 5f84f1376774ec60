#include "store/log_head.h"

#include <algorithm>

namespace sapphirepass {

auto readHead(ObjectStore& store) -> Result<StoredHead, StoreError>
{
    const auto object = store.read(std::string(headObjectName));
    if (!isOk(object)) {
        if (errorOf(object).kind_ == StoreErrorKind::NotFound)
            return StoredHead {};
        return errorOf(object);
    }
    auto head = decodeLogHead(valueOf(object).value_);
    if (!isOk(head))
        return StoreError { StoreErrorKind::Protocol, errorOf(head).message_ };
    return StoredHead { valueOf(std::move(head)), valueOf(object).version_ };
}

auto findCommandId(const LogHead& head, const std::string& id) -> Revision
{
    const auto entry = std::find_if(head.entries_.begin(), head.entries_.end(), [&id](const LogEntry& candidate) { return candidate.id_ == id; });
    if (entry != head.entries_.end())
        return entry->revision_;
    const auto cut = std::find(head.cutIds_.rbegin(), head.cutIds_.rend(), hashText(id));
    if (cut == head.cutIds_.rend())
        return 0;
    return head.revision_ - static_cast<Revision>(head.entries_.size()) - (cut - head.cutIds_.rbegin());
}

auto findEntry(const LogHead& head, Revision revision) -> const LogEntry*
{
    const auto entry = std::find_if(head.entries_.begin(), head.entries_.end(), [revision](const LogEntry& candidate) { return candidate.revision_ == revision; });
    return entry == head.entries_.end() ? nullptr : &*entry;
}

} // namespace sapphirepass

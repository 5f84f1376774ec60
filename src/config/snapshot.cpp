#include "config/snapshot.h"

#include "config/field_table.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace sapphirepass {

namespace {
    template <typename T>
    auto canonicalItem(const T& item) -> std::string
    {
        static const T defaults;
        auto text = fmt::format("declare {} {}", kindName<T>(), item.name_);
        for (const auto& field : fieldsOf<T>()) {
            const auto value = field.format_(item);
            if (field.presence_ == Presence::Required || value != field.format_(defaults))
                text += fmt::format(" {} {}", field.name_, value);
        }
        return text;
    }
}

auto canonicalText(const Item& item) -> std::string
{
    return std::visit([](const auto& alternative) { return canonicalItem(alternative); }, item);
}

auto hashText(std::string_view text) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), 0);
}

auto Snapshot::stateHash() const -> std::uint64_t
{
    return XXH64(&contentHash_, sizeof contentHash_, static_cast<std::uint64_t>(revision_));
}

auto Snapshot::atRevision(Revision revision) const -> Snapshot
{
    auto changed = *this;
    changed.revision_ = revision;
    return changed;
}

} // namespace sapphirepass

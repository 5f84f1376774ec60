#include "gateway/feeds/recent_texts.h"

#include "base/hex.h"
#include "gateway/hashing.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr std::size_t minTextBytes = 4 * 1024;
    // A follower that misses a change still holds the version before it.
    constexpr std::size_t maxTexts = 3;
}

auto RecentTexts::add(std::string_view text) -> void
{
    if (text.size() < minTextBytes)
        return;
    auto digest = formatHex64(stableHash(text));
    std::erase_if(entries_, [&digest](const auto& entry) { return entry.digest_ == digest; });
    entries_.push_back({ std::move(digest), std::make_shared<const std::string>(text) });
    if (entries_.size() > maxTexts)
        entries_.pop_front();
}

auto RecentTexts::find(std::string_view digest) const -> std::shared_ptr<const std::string>
{
    const auto found = std::find_if(entries_.begin(), entries_.end(), [digest](const auto& entry) { return entry.digest_ == digest; });
    return found == entries_.end() ? nullptr : found->text_;
}

} // namespace sapphirepass

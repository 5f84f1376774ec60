// Large texts that a feed has held lately. Newer ones are compressed against them.
#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace sapphirepass {

class RecentTexts {
public:
    struct Entry {
        // The same on every instance that has held the text.
        std::string digest_;
        std::shared_ptr<const std::string> text_;

        auto operator<=>(const Entry&) const = default;
    };

    // Texts of less than 4 KiB are not kept.
    auto add(std::string_view text) -> void;
    // Null if the text is not kept.
    auto find(std::string_view digest) const -> std::shared_ptr<const std::string>;
    // Null if there is none.
    auto newest() const -> const Entry* { return entries_.empty() ? nullptr : &entries_.back(); }

private:
    std::deque<Entry> entries_;
};

} // namespace sapphirepass

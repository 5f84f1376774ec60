#include "base/json_text.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    auto error(std::string message) -> JsonError
    {
        message.resize(std::min(message.size(), maxJsonErrorBytes));
        return JsonError { std::move(message) };
    }

    auto isBlank(char letter) -> bool { return letter == ' ' || letter == '\t' || letter == '\n' || letter == '\r'; }

    // Moves over JSON text. Keeps no stack, so any depth is fine.
    class Scanner {
    public:
        explicit Scanner(std::string_view text)
            : text_(text)
        {
            skipBlanks();
        }

        auto isAtEnd() const -> bool { return at_ == text_.size(); }

        // Moves past the letter and the blanks behind it, if it comes next.
        auto take(char letter) -> bool
        {
            if (isAtEnd() || text_[at_] != letter)
                return false;
            ++at_;
            skipBlanks();
            return true;
        }

        // Moves past a string and the blanks behind it. Nothing if it does not end.
        auto takeString() -> std::optional<std::string_view>
        {
            const auto from = at_;
            if (!passString())
                return std::nullopt;
            const auto found = text_.substr(from, at_ - from);
            skipBlanks();
            return found;
        }

        // Moves past a value and the blanks behind it. Nothing if there is none or it does not end.
        auto takeValue() -> std::optional<std::string_view>
        {
            const auto from = at_;
            if (!passValue() || at_ == from)
                return std::nullopt;
            const auto found = text_.substr(from, at_ - from);
            skipBlanks();
            return found;
        }

        // Deepest nesting in the value passed last.
        auto depth() const -> std::size_t { return depth_; }

    private:
        auto skipBlanks() -> void
        {
            while (!isAtEnd() && isBlank(text_[at_]))
                ++at_;
        }

        auto passString() -> bool
        {
            if (isAtEnd() || text_[at_] != '"')
                return false;
            for (++at_; at_ < text_.size(); ++at_) {
                if (text_[at_] == '\\')
                    ++at_;
                else if (text_[at_] == '"')
                    return ++at_, true;
            }
            at_ = text_.size();
            return false;
        }

        auto passPlain() -> void
        {
            while (!isAtEnd() && !isBlank(text_[at_]) && std::string_view(",:[]{}\"").find(text_[at_]) == std::string_view::npos)
                ++at_;
        }

        auto passValue() -> bool
        {
            depth_ = 0;
            std::size_t open = 0;
            do {
                if (isAtEnd())
                    return false;
                const char letter = text_[at_];
                if (letter == '"') {
                    if (!passString())
                        return false;
                } else if (letter == '[' || letter == '{') {
                    depth_ = std::max(depth_, ++open);
                    ++at_;
                } else if (letter == ']' || letter == '}') {
                    if (open == 0)
                        return false;
                    --open;
                    ++at_;
                } else if (open > 0) {
                    ++at_;
                } else {
                    passPlain();
                }
            } while (open > 0);
            return true;
        }

        std::string_view text_;
        std::size_t at_ = 0;
        std::size_t depth_ = 0;
    };

    // Gives the scanner to a function before each part of an array or object; the function returns whether it could take one.
    template <typename TakePart>
    auto splitParts(std::string_view text, char opening, char closing, TakePart takePart) -> std::optional<JsonError>
    {
        Scanner scanner(text);
        if (!scanner.take(opening))
            return error(fmt::format("'{}' is missing", opening));
        if (!scanner.take(closing)) {
            do {
                if (!takePart(scanner))
                    return error("a part is missing or does not end");
            } while (scanner.take(','));
            if (!scanner.take(closing))
                return error(fmt::format("'{}' is missing", closing));
        }
        return scanner.isAtEnd() ? std::nullopt : std::optional(error("there is more behind the end"));
    }
}

auto splitJsonArray(std::string_view text) -> Result<std::vector<std::string_view>, JsonError>
{
    std::vector<std::string_view> elements;
    const auto failure = splitParts(text, '[', ']', [&elements](Scanner& scanner) {
        const auto value = scanner.takeValue();
        elements.push_back(value.value_or(std::string_view()));
        return value.has_value();
    });
    if (failure)
        return *failure;
    return elements;
}

auto splitJsonObject(std::string_view text) -> Result<std::vector<JsonMember>, JsonError>
{
    std::vector<JsonMember> members;
    const auto failure = splitParts(text, '{', '}', [&members](Scanner& scanner) {
        const auto name = scanner.takeString();
        if (!name || !scanner.take(':'))
            return false;
        const auto value = scanner.takeValue();
        members.push_back({ name->substr(1, name->size() - 2), value.value_or(std::string_view()) });
        return value.has_value();
    });
    if (failure)
        return *failure;
    return members;
}

auto findJsonMember(const std::vector<JsonMember>& members, std::string_view name) -> std::string_view
{
    const auto found = std::find_if(members.rbegin(), members.rend(), [name](const auto& member) { return member.name_ == name; });
    return found == members.rend() ? std::string_view() : found->value_;
}

// The parser is not recursive, but copying and serializing its result are.
auto readJson(std::string_view text, const JsonBounds& bounds) -> Result<nlohmann::json, JsonError>
{
    if (text.size() > bounds.bytes_)
        return error(fmt::format("{} bytes, {} are allowed", text.size(), bounds.bytes_));
    Scanner scanner(text);
    if (!scanner.takeValue())
        return error("a value is missing or does not end");
    if (scanner.depth() > bounds.depth_)
        return error(fmt::format("{} levels deep, {} are allowed", scanner.depth(), bounds.depth_));
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception& exception) {
        return error(exception.what());
    }
}

auto readJsonNumber(std::string_view text) -> std::optional<std::int64_t>
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size() || number < 0)
        return std::nullopt;
    return number;
}

auto readJsonString(std::string_view text, std::size_t maxBytes) -> std::optional<std::string>
{
    constexpr std::size_t quotes = 2;
    const auto value = readJson(text, { maxBytes + quotes, 0 });
    if (!isOk(value) || !valueOf(value).is_string())
        return std::nullopt;
    return valueOf(value).get<std::string>();
}

} // namespace sapphirepass

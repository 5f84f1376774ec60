#include "operator/explain.h"

#include <algorithm>
#include <fmt/format.h>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace sapphirepass {

namespace {
    using Json = nlohmann::ordered_json;

    // Names of lines that tell what an instance believes.
    const std::set<std::string> beliefNames { "declaration-in-force", "source-lost", "source-regained", "domains-evacuated", "fleet-changed", "gateway-started", "gateway-stopping" };
    const std::set<std::string> headFields { "time", "level", "event", "name", "instance" };

    struct ParsedLine {
        LogLine line_;
        std::string request_;
        std::string upstream_;
    };

    auto textOf(const Json& object, const char* name) -> std::string
    {
        const auto found = object.find(name);
        return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    // Collectors put words of their own before a line.
    auto parseLine(const std::string& text) -> std::optional<ParsedLine>
    {
        const auto start = text.find('{');
        const auto object = start == std::string::npos ? Json() : Json::parse(text.begin() + static_cast<std::ptrdiff_t>(start), text.end(), nullptr, false);
        if (!object.is_object() || textOf(object, "name").empty())
            return std::nullopt;
        ParsedLine parsed { { textOf(object, "time"), textOf(object, "instance"), textOf(object, "name"), {} }, textOf(object, "request"), textOf(object, "upstream") };
        for (const auto& [name, value] : object.items()) {
            if (!headFields.contains(name))
                parsed.line_.fields_ += fmt::format("{}{}={}", parsed.line_.fields_.empty() ? "" : " ", name, value.is_string() ? value.get<std::string>() : value.dump());
        }
        return parsed;
    }

    // One entry for each kind of belief, or for each upstream.
    auto beliefKey(const ParsedLine& parsed) -> std::string
    {
        if (beliefNames.contains(parsed.line_.name_))
            return fmt::format("{} {}", parsed.line_.instance_, parsed.line_.name_);
        if (parsed.line_.name_ == "upstreams-changed" && !parsed.upstream_.empty())
            return fmt::format("{} {}", parsed.line_.instance_, parsed.upstream_);
        return {};
    }
}

auto explainRequest(std::istream& logs, const std::string& requestId) -> std::vector<LogLine>
{
    std::vector<LogLine> story;
    std::vector<ParsedLine> beliefs;
    std::map<std::string, std::string> lastAt;
    std::set<std::string> wanted;
    for (std::string text; std::getline(logs, text);) {
        const auto parsed = parseLine(text);
        if (!parsed)
            continue;
        if (!beliefKey(*parsed).empty())
            beliefs.push_back(*parsed);
        if (parsed->request_ != requestId)
            continue;
        story.push_back(parsed->line_);
        auto& last = lastAt[parsed->line_.instance_];
        last = std::max(last, parsed->line_.time_);
        wanted.insert(fmt::format("{} {}", parsed->line_.instance_, parsed->upstream_));
        for (const auto& name : beliefNames)
            wanted.insert(fmt::format("{} {}", parsed->line_.instance_, name));
    }
    std::map<std::string, LogLine> newest;
    for (const auto& belief : beliefs) {
        const auto key = beliefKey(belief);
        const auto last = lastAt.find(belief.line_.instance_);
        if (!wanted.contains(key) || last == lastAt.end() || belief.line_.time_ > last->second)
            continue;
        auto& kept = newest[key];
        kept = std::max(kept, belief.line_);
    }
    for (const auto& [key, line] : newest)
        story.push_back(line);
    std::sort(story.begin(), story.end());
    return story;
}

auto renderLogLine(const LogLine& line) -> std::string
{
    return fmt::format("{} {} {} {}", line.time_, line.instance_, line.name_, line.fields_);
}

} // namespace sapphirepass

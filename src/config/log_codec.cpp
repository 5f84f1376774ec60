#include "config/log_type.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sapphirepass {

namespace {
    using Json = nlohmann::json;

    constexpr int logFormat = 1;

    auto encodeEntry(const LogEntry& entry) -> Json
    {
        return { { "revision", entry.revision_ }, { "id", entry.id_ }, { "who", entry.who_ }, { "from", entry.from_ }, { "at", entry.at_ }, { "text", entry.text_ } };
    }

    auto decodeEntry(const Json& json) -> LogEntry
    {
        return { json.at("revision").get<Revision>(), json.at("id").get<std::string>(), json.at("who").get<std::string>(),
            json.at("from").get<std::string>(), json.at("at").get<std::string>(), json.at("text").get<std::string>() };
    }

    auto isConsecutive(const LogHead& head) -> bool
    {
        auto expected = head.revision_ - static_cast<Revision>(head.entries_.size());
        if (expected < 0)
            return false;
        for (const auto& entry : head.entries_) {
            if (entry.revision_ != ++expected)
                return false;
        }
        return true;
    }
}

auto encodeLogHead(const LogHead& head) -> std::string
{
    auto entries = Json::array();
    for (const auto& entry : head.entries_)
        entries.push_back(encodeEntry(entry));
    return Json { { "format", logFormat }, { "revision", head.revision_ }, { "entries", entries } }.dump();
}

auto decodeLogHead(std::string_view text) -> Result<LogHead, LogDecodeError>
{
    try {
        const auto json = Json::parse(text);
        if (json.at("format").get<int>() != logFormat)
            return LogDecodeError { "unknown format of the command log" };
        LogHead head;
        head.revision_ = json.at("revision").get<Revision>();
        for (const auto& entry : json.at("entries"))
            head.entries_.push_back(decodeEntry(entry));
        if (!isConsecutive(head))
            return LogDecodeError { "the revisions of the command log are not consecutive" };
        return head;
    } catch (const Json::exception& error) {
        return LogDecodeError { error.what() };
    }
}

} // namespace sapphirepass

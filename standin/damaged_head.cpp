#include "standin/damaged_head.h"

#include <fmt/format.h>

namespace sapphirepass::standin {

namespace {
    auto damagedLines(const std::string& line) -> std::vector<std::string>
    {
        std::vector<std::string> lines;
        for (const char damage : { '\0', '\x01', '\t', '\x0b', ' ', '\x1f', '\x7f', '\x80', '\xff' }) {
            for (std::size_t at = 0; at <= line.find(':'); ++at) {
                auto inserted = line;
                inserted.insert(at, 1, damage);
                lines.push_back(inserted);
                if (line[at] == ':')
                    continue;
                auto replaced = line;
                replaced[at] = damage;
                lines.push_back(replaced);
            }
        }
        // Without a name.
        lines.push_back(line.substr(line.find(':')));
        return lines;
    }
}

auto damagedHeads(const std::string& before) -> std::vector<std::string>
{
    const std::string length = "Content-Length: 4\r\n";
    std::vector<std::string> heads;
    for (const auto& line : damagedLines(length))
        heads.push_back(before + line);
    for (const auto& line : damagedLines("X-Further: 1\r\n")) {
        heads.push_back(fmt::format("{}{}{}", line, before, length));
        heads.push_back(fmt::format("{}{}{}", before, line, length));
        heads.push_back(fmt::format("{}{}{}", before, length, line));
    }
    heads.push_back(before + "X-Further: 1,\r\n 2\r\n" + length);
    heads.push_back(before + "X-Further:\r\n\t2\r\n" + length);
    heads.push_back(before + length + "X-Further: 1\r\n \r\n");
    return heads;
}

} // namespace sapphirepass::standin

#include "steering/lookup_func.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    constexpr std::chrono::seconds answerLifetime { 5 };
    constexpr std::size_t mostInstances = 3;
    constexpr int longestPrefix = 32;

    // Rendezvous hashing: an instance that comes or goes moves only its own workspaces.
    auto affinity(const std::string& workspace, const PlatformInstance& instance) -> std::uint64_t
    {
        return hashText(fmt::format("{}@{}", workspace, instance.name_));
    }
}

auto regionOfClient(const Snapshot& snapshot, const std::string& client) -> std::optional<std::string>
{
    in_addr address {};
    if (inet_pton(AF_INET, client.c_str(), &address) != 1)
        return std::nullopt;
    for (int length = longestPrefix; length >= 0; --length) {
        const std::uint32_t mask = length == 0 ? 0 : ~std::uint32_t { 0 } << (longestPrefix - length);
        const in_addr prefix { htonl(ntohl(address.s_addr) & mask) };
        char text[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &prefix, text, sizeof text);
        if (const auto* block = snapshot.find<ClientBlock>(fmt::format("{}/{}", text, length)))
            return block->region_;
    }
    return std::nullopt;
}

auto lookUpInstances(const Snapshot& snapshot, const std::vector<PlatformInstance>& instances, const std::string& ownRegion, const LookupRequest& request) -> LookupAnswer
{
    const auto region = regionOfClient(snapshot, request.client_).value_or(ownRegion);
    LookupAnswer answer { instances, answerLifetime };
    std::erase_if(answer.instances_, [](const auto& instance) { return instance.phase_ == InstancePhase::Leaving; });
    std::sort(answer.instances_.begin(), answer.instances_.end(), [&](const auto& a, const auto& b) {
        const bool localA = a.region_ == region;
        const bool localB = b.region_ == region;
        return localA != localB ? localA : affinity(request.workspace_, a) > affinity(request.workspace_, b);
    });
    if (answer.instances_.size() > mostInstances)
        answer.instances_.resize(mostInstances);
    return answer;
}

} // namespace sapphirepass

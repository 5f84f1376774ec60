#include "steering/lookup_func.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    constexpr std::chrono::seconds resultLifetime { 5 };
    constexpr std::size_t maxInstances = 3;
    constexpr int maxPrefixLength = 32;

    // Rendezvous hashing: adding or removing an instance reassigns only the workspaces of that instance.
    auto rendezvousWeight(const std::string& workspace, const PlatformInstance& instance) -> std::uint64_t
    {
        return hashText(fmt::format("{}@{}", workspace, instance.name_));
    }
}

auto regionOfClient(const Snapshot& snapshot, const std::string& client) -> std::optional<std::string>
{
    in_addr address {};
    if (inet_pton(AF_INET, client.c_str(), &address) != 1)
        return std::nullopt;
    for (int length = maxPrefixLength; length >= 0; --length) {
        const std::uint32_t mask = length == 0 ? 0 : ~std::uint32_t { 0 } << (maxPrefixLength - length);
        const in_addr prefix { htonl(ntohl(address.s_addr) & mask) };
        char text[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &prefix, text, sizeof text);
        if (const auto* block = snapshot.find<ClientBlock>(fmt::format("{}/{}", text, length)))
            return block->region_;
    }
    return std::nullopt;
}

auto lookUpInstances(const Snapshot& snapshot, const std::vector<PlatformInstance>& instances, const std::string& ownRegion, const LookupRequest& request) -> LookupResult
{
    const auto region = regionOfClient(snapshot, request.client_).value_or(ownRegion);
    LookupResult result { instances, resultLifetime };
    std::erase_if(result.instances_, [](const auto& instance) { return instance.phase_ == InstancePhase::Leaving; });
    std::sort(result.instances_.begin(), result.instances_.end(), [&](const auto& a, const auto& b) {
        const bool localA = a.region_ == region;
        const bool localB = b.region_ == region;
        return localA != localB ? localA : rendezvousWeight(request.workspace_, a) > rendezvousWeight(request.workspace_, b);
    });
    if (result.instances_.size() > maxInstances)
        result.instances_.resize(maxInstances);
    return result;
}

} // namespace sapphirepass

#include "gateway/fleet/fleet_view.h"

#include "gateway/hashing.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Longer than a partition between regions, which can last an hour.
    constexpr Duration lostPeerRetention = 3h;
    // Two heartbeats within a region.
    constexpr Duration recentHeartbeat = 1s;
    // Bounds the size of heartbeats after the loss of many instances.
    constexpr std::size_t maxSilentMembers = 16;

    // The addresses with the highest rendezvous weight for the round: each round has other ones, and all come in turn.
    auto sample(std::vector<SocketAddress> addresses, std::uint64_t round, std::size_t maxCount) -> std::vector<SocketAddress>
    {
        std::vector<std::pair<std::uint64_t, SocketAddress>> ranked;
        ranked.reserve(addresses.size());
        for (auto& address : addresses)
            ranked.emplace_back(rendezvousWeight(round, formatSocketAddress(address)), std::move(address));
        const auto count = std::min(maxCount, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<>());
        std::vector<SocketAddress> chosen;
        chosen.reserve(count);
        for (std::size_t i = 0; i < count; ++i)
            chosen.push_back(ranked[i].second);
        return chosen;
    }
}

FleetView::FleetView(const Clock& clock, FleetTiming timing, std::string self)
    : clock_(clock)
    , timing_(timing)
    , self_(std::move(self))
{
}

auto FleetView::updateMember(const MemberReport& report) -> void
{
    if (report.name_ == self_ || report.name_.empty())
        return;
    auto& member = members_[report.name_];
    member.report_ = report;
    // Observations are applied as they arrive.
    member.report_.observations_ = {};
    member.lastSeenAt_ = clock_.now();
    member.hasReported_ = true;
    lostAt_.erase(report.peer_);
}

auto FleetView::addListedMember(const std::string& name, const SocketAddress& peer) -> void
{
    if (name == self_ || members_.contains(name))
        return;
    Member member;
    member.report_.name_ = name;
    member.report_.peer_ = peer;
    member.lastSeenAt_ = clock_.now();
    members_[name] = member;
}

auto FleetView::removeSilent() -> void
{
    const auto now = clock_.now();
    std::erase_if(lostAt_, [now](const auto& item) { return now - item.second > lostPeerRetention; });
    std::erase_if(members_, [this, now](const auto& item) {
        const auto& member = item.second;
        const bool isStopping = member.report_.phase_ == MemberPhase::Stopping;
        const auto keepFor = isStopping ? timing_.silenceTimeout_ * 2 : timing_.reservationTime_;
        const bool isOver = now - member.lastSeenAt_ > keepFor;
        if (isOver && !isStopping)
            lostAt_[member.report_.peer_] = now;
        return isOver;
    });
}

auto FleetView::isLive(const Member& member) const -> bool
{
    return member.hasReported_ && clock_.now() - member.lastSeenAt_ <= timing_.silenceTimeout_;
}

auto FleetView::readyMembers(std::string_view region) const -> std::vector<const MemberReport*>
{
    auto ready = allReadyMembers();
    std::erase_if(ready, [region](const auto* report) { return report->region_ != region; });
    return ready;
}

auto FleetView::connectedMembers(std::string_view region) const -> std::vector<const MemberReport*>
{
    auto connected = readyMembers(region);
    std::erase_if(connected, [](const auto* report) { return report->isCutOff_; });
    return connected;
}

auto FleetView::activeMembers(std::string_view region) const -> std::vector<const MemberReport*>
{
    std::vector<const MemberReport*> active;
    for (const auto& [name, member] : members_) {
        if (isLive(member) && member.report_.phase_ != MemberPhase::Stopping && member.report_.region_ == region)
            active.push_back(&member.report_);
    }
    return active;
}

auto FleetView::allReadyMembers() const -> std::vector<const MemberReport*>
{
    std::vector<const MemberReport*> ready;
    for (const auto& [name, member] : members_) {
        if (isLive(member) && member.report_.phase_ == MemberPhase::Ready)
            ready.push_back(&member.report_);
    }
    return ready;
}

auto FleetView::peerAddresses() const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> addresses;
    for (const auto& [name, member] : members_)
        addresses.push_back(member.report_.peer_);
    return addresses;
}

auto FleetView::peerAddressesNear(std::string_view region) const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> addresses;
    for (const auto& [name, member] : members_) {
        if (!member.hasReported_ || member.report_.region_ == region)
            addresses.push_back(member.report_.peer_);
    }
    return addresses;
}

auto FleetView::peerAddressesBeyond(std::string_view region) const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> addresses;
    for (const auto& [name, member] : members_) {
        if (member.hasReported_ && member.report_.region_ != region)
            addresses.push_back(member.report_.peer_);
    }
    return addresses;
}

auto FleetView::livePeerAddresses() const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> addresses;
    for (const auto& [name, member] : members_) {
        if (isLive(member))
            addresses.push_back(member.report_.peer_);
    }
    return addresses;
}

auto FleetView::sampleLivePeers(std::uint64_t round, std::size_t maxCount) const -> std::vector<SocketAddress>
{
    return sample(livePeerAddresses(), round, maxCount);
}

auto FleetView::sampleLostPeers(std::uint64_t round, std::size_t maxCount) const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> addresses;
    for (const auto& [address, at] : lostAt_)
        addresses.push_back(address);
    return sample(std::move(addresses), round, maxCount);
}

auto FleetView::silentMembers() const -> std::vector<std::uint64_t>
{
    std::vector<std::pair<MonotonicTime, std::uint64_t>> silent;
    for (const auto& [name, member] : members_) {
        if (member.hasReported_ && !isLive(member) && member.report_.phase_ != MemberPhase::Stopping)
            silent.emplace_back(member.lastSeenAt_, stableHash(name));
    }
    const auto count = std::min(maxSilentMembers, silent.size());
    std::partial_sort(silent.begin(), silent.begin() + static_cast<std::ptrdiff_t>(count), silent.end(), std::greater<>());
    std::vector<std::uint64_t> hashes;
    hashes.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        hashes.push_back(silent[i].second);
    return hashes;
}

auto FleetView::isConnected(const Member& member) const -> bool
{
    const auto& silent = member.report_.silentMembers_;
    return isLive(member) && std::find(silent.begin(), silent.end(), stableHash(self_)) == silent.end();
}

// An instance whose heartbeats are lost while it receives those of the others has been replaced as coordinator.
auto FleetView::hasQuorum() const -> bool
{
    const auto connected = std::count_if(members_.begin(), members_.end(), [this](const auto& item) { return isConnected(item.second); });
    return static_cast<std::size_t>(connected) * 2 >= members_.size();
}

auto FleetView::isSourceLost() const -> bool
{
    std::size_t liveCount = 1;
    std::size_t lost = isSourceLost_ ? 1 : 0;
    for (const auto& [name, member] : members_) {
        if (!isLive(member))
            continue;
        ++liveCount;
        lost += member.report_.isSourceLost_ ? 1 : 0;
    }
    return lost * 2 >= liveCount;
}

auto FleetView::isAnyPeerSourceLost() const -> bool
{
    return std::any_of(members_.begin(), members_.end(), [this](const auto& item) { return item.second.report_.isSourceLost_ && isLive(item.second); });
}

auto FleetView::coordinatorOf(std::string_view key) const -> std::optional<Coordinator>
{
    const auto object = stableHash(key);
    std::optional<Coordinator> coordinator;
    std::uint64_t highest = 0;
    const auto consider = [&](const std::string& name, const SocketAddress& peer) {
        const auto weight = rendezvousWeight(object, name);
        if (coordinator && weight <= highest)
            return;
        coordinator = Coordinator { name, peer };
        highest = weight;
    };
    if (isReady_)
        consider(self_, {});
    for (const auto* report : allReadyMembers())
        consider(report->name_, report->peer_);
    return coordinator;
}

auto FleetView::coldSenderCount(std::string_view upstream, std::size_t maxSenders) const -> std::optional<std::size_t>
{
    const auto object = stableHash(upstream);
    const auto ownWeight = rendezvousWeight(object, self_);
    std::size_t ahead = 0;
    for (const auto& [name, member] : members_)
        ahead += rendezvousWeight(object, name) > ownWeight ? 1 : 0;
    if (ahead >= maxSenders)
        return std::nullopt;
    return std::min(maxSenders, memberCount());
}

auto FleetView::newestRevisionReported(std::size_t feed) const -> StoreRevision
{
    StoreRevision newest;
    for (const auto& [name, member] : members_) {
        if (isLive(member))
            newest = std::max(newest, member.report_.lastChangeRevisions_.at(feed));
    }
    return newest;
}

auto FleetView::revisionReportedBy(const SocketAddress& control, std::size_t feed) const -> std::optional<StoreRevision>
{
    for (const auto& [name, member] : members_) {
        if (member.hasReported_ && member.report_.control_ == control && clock_.now() - member.lastSeenAt_ <= recentHeartbeat)
            return member.report_.lastChangeRevisions_.at(feed);
    }
    return std::nullopt;
}

auto FleetView::crashesElsewhere(std::uint64_t fingerprint) const -> std::uint32_t
{
    std::uint32_t upstreams = 0;
    for (const auto& [name, member] : members_) {
        for (const auto& crash : member.report_.crashes_)
            upstreams += crash.fingerprint_ == fingerprint ? crash.upstreams_ : 0;
    }
    return upstreams;
}

} // namespace sapphirepass

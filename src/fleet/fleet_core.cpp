#include "fleet/fleet_core.h"

#include "base/event_log.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    // Limits the heartbeats that each watcher receives from its domain to 2.5 per second.
    constexpr auto heartbeatIntervalPerMember = 400ms;
    constexpr auto housekeepingPeriod = 30s;
    // Replies to older digest requests would no longer extend freshness.
    constexpr auto pendingRequestTtl = 2 * freshnessLimit;
    // Factor by which gossip is sped up when freshness is about to expire.
    constexpr int staleGossipSpeedup = 4;
    // Random receivers of a new withdrawal, this many in the own domain and as many in the whole fleet.
    constexpr int withdrawalFanOut = 4;
}

FleetCore::FleetCore(Member self, ConfigState& state, const Clock& clock, FleetOptions options, std::uint64_t seed)
    : state_(state)
    , clock_(clock)
    , options_(std::move(options))
    , random_(seed)
    , members_(std::move(self), clock)
    , freshness_(clock, members_.self().domain_)
    , relay_(state, members_, clock, options_.fanOut_, random_)
{
}

auto FleetCore::setPlatformList(MemberListPtr listed) -> void
{
    members_.setPlatformList(std::move(listed));
    updateFreshnessDomains();
}

auto FleetCore::updateFreshnessDomains() -> void
{
    if (memberGeneration_ == members_.generation())
        return;
    memberGeneration_ = members_.generation();
    std::set<std::string> domains;
    for (const auto& [domain, list] : members_.list().domains())
        domains.insert(domain);
    freshness_.setFleet(domains, members_.hasOthers());
}

auto FleetCore::storeAnswered(MonotonicTime asked, const LogHead& head) -> bool
{
    sendAll(relay_.receiveFromStore(head));
    handleRevisionChange();
    recordRemoteRevision(head.revision_);
    if (relay_.revision() < head.revision_)
        return false;
    freshness_.recordStoreContact(asked);
    return true;
}

auto FleetCore::receive(const InstanceId& from, const FleetMessage& message) -> void
{
    std::visit([this, &from](const auto& alternative) { handle(from, alternative); }, message);
    updateFreshnessDomains();
}

auto FleetCore::handle(const InstanceId& from, const Digest& theirs) -> void
{
    if (!members_.recordDigest(from, theirs))
        return;
    sendAll(relay_.reconcile(from.name_, theirs));
    recordRemoteRevision(theirs.revision_);
    if (!emergencyWithdrawals_.includesSet(theirs.withdrawalHash_) || (theirs.question_ && emergencyWithdrawals_.hash() != theirs.withdrawalHash_ && emergencyWithdrawals_.hash() != 0))
        send(from.name_, emergencyWithdrawals_.all());
    if (theirs.question_)
        send(from.name_, digest(false, theirs.nonce_));
    else
        recordDigestReply(from, theirs);
}

auto FleetCore::recordRemoteRevision(Revision remoteRevision) -> void
{
    highestRemoteRevision_ = std::max(highestRemoteRevision_, remoteRevision);
    if (highestRemoteRevision_ > relay_.revision() && !behindSince_)
        behindSince_ = clock_.now();
}

auto FleetCore::currentUntil() const -> MonotonicTime
{
    const auto contactDeadline = freshness_.currentUntil();
    return behindSince_ ? std::min(contactDeadline, *behindSince_ + freshnessLimit) : contactDeadline;
}

// A reply extends freshness only if this instance has everything that the replying one had. It counts from
// the time of the request, because a reply may have been buffered for long in the sockets of a paused
// process.
auto FleetCore::recordDigestReply(const InstanceId& from, const Digest& theirs) -> void
{
    const auto asked = pendingRequests_.find(theirs.nonce_);
    if (theirs.nonce_ == 0 || asked == pendingRequests_.end())
        return;
    if (theirs.revision_ > relay_.revision() || !emergencyWithdrawals_.includesSet(theirs.withdrawalHash_))
        return;
    const auto* member = members_.list().find(from.name_);
    if (member == nullptr)
        return;
    freshness_.recordPeerContact(member->domain_, asked->second);
    freshness_.recordIndirectContacts(theirs.hearings_, asked->second);
    pendingRequests_.erase(asked);
}

auto FleetCore::handle(const InstanceId& from, const EntryBatch& batch) -> void
{
    sendAll(relay_.receive(from.name_, batch));
    handleRevisionChange();
}

auto FleetCore::handle(const InstanceId& from, const SnapshotPart& part) -> void
{
    sendAll(relay_.receive(from.name_, part));
    handleRevisionChange();
}

auto FleetCore::handle(const InstanceId&, const WithdrawalSet& set) -> void
{
    addWithdrawals(set);
}

auto FleetCore::handle(const InstanceId& from, const MemberAnnouncement& report) -> void
{
    const auto& member = report.member_;
    if (member.id_ == from && member.leaving_ && !members_.hasLeft(member.id_.name_) && member.domain_ != members_.self().domain_) {
        // A leaving instance notifies its own domain and all watchers; the watchers notify their domains.
        for (const auto* other : members_.list().domainMembers(members_.self().domain_))
            send(other->id_.name_, report);
    }
    if (member.id_ == from || member.leaving_)
        members_.recordMember(member);
}

auto FleetCore::handle(const InstanceId& from, const MembersRequest&) -> void
{
    MembersReply rows;
    const auto all = describeMembers();
    for (const auto& member : all) {
        const auto watchers = members_.watchers(member.domain_, options_.fanOut_.watchers_);
        const bool watches = std::find(watchers.begin(), watchers.end(), member.id_.name_) != watchers.end();
        if (member.domain_ == members_.self().domain_ || watches)
            rows.members_.push_back(member);
    }
    send(from.name_, std::move(rows));
}

auto FleetCore::handle(const InstanceId&, const MembersReply& rows) -> void
{
    for (const auto& member : rows.members_) {
        members_.recordMember(member);
        members_.recordIndirectStatus(member);
    }
}

auto FleetCore::handle(const InstanceId& from, const InForceAsk& ask) -> void
{
    send(from.name_, countInForce(ask, members_.self().domain_));
}

auto FleetCore::handle(const InstanceId&, const InForceAnswer& answer) -> void
{
    if (answer.ask_ != lastInForceAsk_)
        return;
    const auto known = inForceAnswers_.find(answer.domain_);
    if (known == inForceAnswers_.end() || known->second.confirmed_ < answer.confirmed_)
        inForceAnswers_[answer.domain_] = answer;
}

auto FleetCore::tick() -> void
{
    const auto now = clock_.now();
    handleRevisionChange();
    if (now >= nextGossip_) {
        nextGossip_ = now + nextGossipDelay();
        gossip();
    }
    if (now >= nextHeartbeat_) {
        const auto size = static_cast<std::int64_t>(members_.list().domainMembers(members_.self().domain_).size());
        nextHeartbeat_ = now + jittered(std::max<Duration>(options_.heartbeatPeriod_, size * heartbeatIntervalPerMember));
        heartbeat();
    }
    if (now >= nextHousekeeping_) {
        nextHousekeeping_ = now + housekeepingPeriod;
        introducedPeers_.clear();
        members_.removeExpired();
        std::erase_if(pendingRequests_, [now](const auto& entry) { return now - entry.second > pendingRequestTtl; });
        updateFreshnessDomains();
    }
}

// Spreads the requests of instances that started at the same time.
auto FleetCore::jittered(Duration period) -> Duration
{
    return Duration(std::uniform_int_distribution<std::int64_t>(period.count() * 3 / 4, period.count() * 5 / 4)(random_));
}

// Shorter when less than half of the freshness limit remains.
auto FleetCore::nextGossipDelay() -> Duration
{
    const bool expiresSoon = currentUntil() - clock_.now() < freshnessLimit / 2;
    return jittered(expiresSoon ? options_.gossipPeriod_ / staleGossipSpeedup : options_.gossipPeriod_);
}

// Sends the new revision to the watchers of the domain immediately.
auto FleetCore::handleRevisionChange() -> void
{
    const auto revision = relay_.revision();
    if (revision == announcedRevision_)
        return;
    announcedRevision_ = revision;
    if (revision >= highestRemoteRevision_)
        behindSince_.reset();
    emergencyWithdrawals_.removeDurable(*state_.snapshot());
    for (const auto& watcher : members_.watchers(members_.self().domain_, options_.fanOut_.watchers_)) {
        if (watcher != members_.self().id_.name_)
            send(watcher, digest(false, 0));
    }
}

auto FleetCore::gossip() -> void
{
    // In a small domain the heartbeats already cover the members, so gossip goes to the whole fleet.
    const bool large = members_.list().domainMembers(members_.self().domain_).size() > 2 * options_.fanOut_.watchers_;
    const bool near = large && std::uniform_int_distribution(0, 1)(random_) == 0;
    auto to = near ? members_.pickInDomain(members_.self().domain_, random_) : std::string();
    if (to.empty())
        to = members_.pickRandom(random_);
    if (!to.empty())
        question(to);
    else if (!options_.seeds_.empty()) {
        const auto& seed = options_.seeds_[nextSeed_++ % options_.seeds_.size()];
        send(seed, MemberAnnouncement { ownMember() });
        send(seed, MembersRequest {});
    }
}

auto FleetCore::heartbeat() -> void
{
    for (const auto& watcher : members_.watchers(members_.self().domain_, options_.fanOut_.watchers_)) {
        if (watcher != members_.self().id_.name_)
            question(watcher);
    }
}

auto FleetCore::question(const std::string& to) -> void
{
    std::uint64_t nonce = random_();
    nonce = nonce == 0 ? 1 : nonce;
    pendingRequests_[nonce] = clock_.now();
    members_.recordDigestRequest(to);
    send(to, digest(true, nonce));
}

auto FleetCore::digest(bool question, std::uint64_t nonce) const -> Digest
{
    const auto snapshot = state_.snapshot();
    // Hearings count only in replies, so other digests omit them.
    auto hearings = question || nonce == 0 ? std::vector<Hearing>() : freshness_.hearings();
    return { snapshot->revision(), snapshot->stateHash(), question, nonce, emergencyWithdrawals_.hash(), std::move(hearings) };
}

auto FleetCore::withdraw(const Withdrawal& withdrawal) -> void
{
    addWithdrawals({ { withdrawal } });
}

auto FleetCore::addWithdrawals(const WithdrawalSet& set) -> void
{
    const auto added = emergencyWithdrawals_.merge(set, *state_.snapshot());
    if (added.keys_.empty())
        return;
    for (const auto& withdrawal : added.keys_)
        logEvent(EventId::EmergencyWithdrawal, "key={} who={} id={}", withdrawal.key_, withdrawal.who_, withdrawal.id_);
    for (int i = 0; i < withdrawalFanOut; ++i) {
        send(members_.pickInDomain(members_.self().domain_, random_), added);
        send(members_.pickRandom(random_), added);
    }
    for (const auto& watcher : members_.watchers(members_.self().domain_, options_.fanOut_.watchers_))
        send(watcher, digest(false, 0));
}

auto FleetCore::announceLeaving() -> void
{
    auto own = ownMember();
    own.leaving_ = true;
    for (const auto& [domain, list] : members_.list().domains()) {
        for (const auto& watcher : members_.watchers(domain, options_.fanOut_.watchers_))
            send(watcher, MemberAnnouncement { own });
    }
    for (const auto* member : members_.list().domainMembers(members_.self().domain_))
        send(member->id_.name_, MemberAnnouncement { own });
}

auto FleetCore::askInForce(const InForceAsk& ask) -> void
{
    if (ask != lastInForceAsk_)
        inForceAnswers_.clear();
    lastInForceAsk_ = ask;
    for (const auto& [domain, list] : members_.list().domains()) {
        for (const auto& watcher : members_.watchers(domain, options_.fanOut_.watchers_))
            send(watcher, ask);
    }
}

auto FleetCore::askMembers() -> void
{
    for (const auto& [domain, list] : members_.list().domains()) {
        for (const auto& watcher : members_.watchers(domain, 1))
            send(watcher, MembersRequest {});
    }
}

auto FleetCore::send(const std::string& to, FleetMessage message) -> void
{
    if (to.empty() || to == members_.self().id_.name_)
        return;
    // The platform's list lags, so the receiver may not know the address of this instance yet; the first
    // message to each peer is therefore preceded by the membership record.
    if (introducedPeers_.insert(to).second && !std::holds_alternative<MemberAnnouncement>(message))
        outbound_.push_back({ to, MemberAnnouncement { ownMember() } });
    outbound_.push_back({ to, std::move(message) });
}

auto FleetCore::sendAll(OutboundMessages sends) -> void
{
    for (auto& sent : sends)
        send(sent.to_, std::move(sent.message_));
}

auto FleetCore::takeOutbound() -> OutboundMessages
{
    return std::exchange(outbound_, {});
}

auto FleetCore::shouldWatchStore() const -> bool
{
    if (options_.fanOut_.kind_ == FanOut::WatchAll || !freshness_.hasRecentPeerContact())
        return true;
    const auto watchers = members_.watchers(members_.self().domain_, options_.fanOut_.watchers_);
    return std::find(watchers.begin(), watchers.end(), members_.self().id_.name_) != watchers.end();
}

} // namespace sapphirepass

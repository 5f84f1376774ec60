#include "fleet/fleet_core.h"

#include "base/event_log.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    // Each watcher gets at most 2.5 heartbeats a second from its domain.
    constexpr auto heartbeatShare = 400ms;
    constexpr auto housekeepingPeriod = 30s;
    // Questions older than this are no evidence worth keeping.
    constexpr auto keepQuestions = 2 * freshnessLimit;
    // How much more often an instance asks whose evidence runs out.
    constexpr int urgency = 4;
    // Receivers of a withdrawal, in the own domain and elsewhere.
    constexpr int withdrawalWidth = 4;
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
    refreshFleet();
}

auto FleetCore::refreshFleet() -> void
{
    if (fleetGeneration_ == members_.generation())
        return;
    fleetGeneration_ = members_.generation();
    std::set<std::string> domains;
    for (const auto& [domain, list] : members_.list().domains())
        domains.insert(domain);
    freshness_.setFleet(domains, members_.hasOthers());
}

auto FleetCore::storeAnswered(MonotonicTime asked, const LogHead& head) -> bool
{
    add(relay_.offer(head));
    afterRevision();
    noteRevision(head.revision_);
    if (relay_.revision() < head.revision_)
        return false;
    freshness_.hearStore(asked);
    return true;
}

auto FleetCore::receive(const InstanceId& from, const FleetMessage& message) -> void
{
    std::visit([this, &from](const auto& alternative) { handle(from, alternative); }, message);
    refreshFleet();
}

auto FleetCore::handle(const InstanceId& from, const Digest& theirs) -> void
{
    if (!members_.hear(from, theirs))
        return;
    add(relay_.compare(from.name_, theirs));
    noteRevision(theirs.revision_);
    if (!book_.covers(theirs.withdrawalHash_) || (theirs.question_ && book_.hash() != theirs.withdrawalHash_ && book_.hash() != 0))
        send(from.name_, book_.all());
    if (theirs.question_)
        send(from.name_, digest(false, theirs.nonce_));
    else
        takeEvidence(from, theirs);
}

auto FleetCore::noteRevision(Revision elsewhere) -> void
{
    elsewhere_ = std::max(elsewhere_, elsewhere);
    if (elsewhere_ > relay_.revision() && !behindSince_)
        behindSince_ = clock_.now();
}

auto FleetCore::currentUntil() const -> MonotonicTime
{
    const auto heard = freshness_.currentUntil();
    return behindSince_ ? std::min(heard, *behindSince_ + freshnessLimit) : heard;
}

// An answer proves something only to an instance that has all that the answering one had. It counts from
// the time of the question, because an answer may have waited long in a paused instance's sockets.
auto FleetCore::takeEvidence(const InstanceId& from, const Digest& theirs) -> void
{
    const auto asked = questions_.find(theirs.nonce_);
    if (theirs.nonce_ == 0 || asked == questions_.end())
        return;
    if (theirs.revision_ > relay_.revision() || !book_.covers(theirs.withdrawalHash_))
        return;
    const auto* member = members_.list().find(from.name_);
    if (member == nullptr)
        return;
    freshness_.hearPeer(member->domain_, asked->second);
    freshness_.hearOthers(theirs.hearings_, asked->second);
    questions_.erase(asked);
}

auto FleetCore::handle(const InstanceId& from, const EntryBatch& batch) -> void
{
    add(relay_.receive(from.name_, batch));
    afterRevision();
}

auto FleetCore::handle(const InstanceId& from, const SnapshotPart& part) -> void
{
    add(relay_.receive(from.name_, part));
    afterRevision();
}

auto FleetCore::handle(const InstanceId&, const WithdrawalSet& set) -> void
{
    takeWithdrawals(set);
}

auto FleetCore::handle(const InstanceId& from, const MemberReport& report) -> void
{
    const auto& member = report.member_;
    if (member.id_ == from && member.leaving_ && !members_.hasLeft(member.id_.name_) && member.domain_ != members_.self().domain_) {
        // A leaving instance tells its own domain and the watchers; they tell theirs.
        for (const auto* other : members_.list().ofDomain(members_.self().domain_))
            send(other->id_.name_, report);
    }
    if (member.id_ == from || member.leaving_)
        members_.learn(member);
}

auto FleetCore::handle(const InstanceId& from, const MemberAsk&) -> void
{
    MemberRows rows;
    const auto all = describeMembers();
    for (const auto& member : all) {
        const auto watchers = members_.watchers(member.domain_, options_.fanOut_.watchers_);
        const bool watches = std::find(watchers.begin(), watchers.end(), member.id_.name_) != watchers.end();
        if (member.domain_ == members_.self().domain_ || watches)
            rows.members_.push_back(member);
    }
    send(from.name_, std::move(rows));
}

auto FleetCore::handle(const InstanceId&, const MemberRows& rows) -> void
{
    for (const auto& member : rows.members_) {
        members_.learn(member);
        members_.hearFrom(member);
    }
}

auto FleetCore::handle(const InstanceId& from, const InForceAsk& ask) -> void
{
    send(from.name_, countDomain(ask, members_.self().domain_));
}

auto FleetCore::handle(const InstanceId&, const InForceAnswer& answer) -> void
{
    if (answer.ask_ != asked_)
        return;
    const auto known = answers_.find(answer.domain_);
    if (known == answers_.end() || known->second.confirmed_ < answer.confirmed_)
        answers_[answer.domain_] = answer;
}

auto FleetCore::tick() -> void
{
    const auto now = clock_.now();
    afterRevision();
    if (now >= nextGossip_) {
        nextGossip_ = now + nextGossipIn();
        gossip();
    }
    if (now >= nextHeartbeat_) {
        const auto size = static_cast<std::int64_t>(members_.list().ofDomain(members_.self().domain_).size());
        nextHeartbeat_ = now + jittered(std::max<Duration>(options_.heartbeatPeriod_, size * heartbeatShare));
        heartbeat();
    }
    if (now >= nextHousekeeping_) {
        nextHousekeeping_ = now + housekeepingPeriod;
        introduced_.clear();
        members_.forgetSilent();
        std::erase_if(questions_, [now](const auto& entry) { return now - entry.second > keepQuestions; });
        refreshFleet();
    }
}

// So that instances that started together do not ask together.
auto FleetCore::jittered(Duration period) -> Duration
{
    return Duration(std::uniform_int_distribution<std::int64_t>(period.count() * 3 / 4, period.count() * 5 / 4)(random_));
}

// Sooner while evidence that this instance is current runs out.
auto FleetCore::nextGossipIn() -> Duration
{
    const bool runsOut = currentUntil() - clock_.now() < freshnessLimit / 2;
    return jittered(runsOut ? options_.gossipPeriod_ / urgency : options_.gossipPeriod_);
}

// Watchers of the domain hear at once what is in force here.
auto FleetCore::afterRevision() -> void
{
    const auto revision = relay_.revision();
    if (revision == confirmed_)
        return;
    confirmed_ = revision;
    if (revision >= elsewhere_)
        behindSince_.reset();
    book_.settle(*state_.snapshot());
    for (const auto& watcher : members_.watchers(members_.self().domain_, options_.fanOut_.watchers_)) {
        if (watcher != members_.self().id_.name_)
            send(watcher, digest(false, 0));
    }
}

auto FleetCore::gossip() -> void
{
    // Heartbeats alone reach all of a small domain.
    const bool large = members_.list().ofDomain(members_.self().domain_).size() > 2 * options_.fanOut_.watchers_;
    const bool near = large && std::uniform_int_distribution(0, 1)(random_) == 0;
    auto to = near ? members_.pick(members_.self().domain_, random_) : std::string();
    if (to.empty())
        to = members_.pickAny(random_);
    if (!to.empty())
        question(to);
    else if (!options_.seeds_.empty()) {
        const auto& seed = options_.seeds_[nextSeed_++ % options_.seeds_.size()];
        send(seed, MemberReport { ownMember() });
        send(seed, MemberAsk {});
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
    questions_[nonce] = clock_.now();
    members_.recordQuestion(to);
    send(to, digest(true, nonce));
}

auto FleetCore::digest(bool question, std::uint64_t nonce) const -> Digest
{
    const auto snapshot = state_.snapshot();
    // Only answers are evidence, so only they carry it.
    auto hearings = question || nonce == 0 ? std::vector<Hearing>() : freshness_.hearings();
    return { snapshot->revision(), snapshot->stateHash(), question, nonce, book_.hash(), std::move(hearings) };
}

auto FleetCore::withdraw(const Withdrawal& withdrawal) -> void
{
    takeWithdrawals({ { withdrawal } });
}

auto FleetCore::takeWithdrawals(const WithdrawalSet& set) -> void
{
    const auto added = book_.merge(set, *state_.snapshot());
    if (added.keys_.empty())
        return;
    for (const auto& withdrawal : added.keys_)
        logEvent(EventId::EmergencyWithdrawal, "key={} who={} id={}", withdrawal.key_, withdrawal.who_, withdrawal.id_);
    for (int i = 0; i < withdrawalWidth; ++i) {
        send(members_.pick(members_.self().domain_, random_), added);
        send(members_.pickAny(random_), added);
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
            send(watcher, MemberReport { own });
    }
    for (const auto* member : members_.list().ofDomain(members_.self().domain_))
        send(member->id_.name_, MemberReport { own });
}

auto FleetCore::askInForce(const InForceAsk& ask) -> void
{
    if (ask != asked_)
        answers_.clear();
    asked_ = ask;
    for (const auto& [domain, list] : members_.list().domains()) {
        for (const auto& watcher : members_.watchers(domain, options_.fanOut_.watchers_))
            send(watcher, ask);
    }
}

auto FleetCore::askMembers() -> void
{
    for (const auto& [domain, list] : members_.list().domains()) {
        for (const auto& watcher : members_.watchers(domain, 1))
            send(watcher, MemberAsk {});
    }
}

auto FleetCore::send(const std::string& to, FleetMessage message) -> void
{
    if (to.empty() || to == members_.self().id_.name_)
        return;
    // Lists lag, so the first message to an instance comes with where this one can be reached.
    if (introduced_.insert(to).second && !std::holds_alternative<MemberReport>(message))
        sends_.push_back({ to, MemberReport { ownMember() } });
    sends_.push_back({ to, std::move(message) });
}

auto FleetCore::add(FleetSends sends) -> void
{
    for (auto& sent : sends)
        send(sent.to_, std::move(sent.message_));
}

auto FleetCore::takeOutbound() -> FleetSends
{
    return std::exchange(sends_, {});
}

auto FleetCore::shouldWatchStore() const -> bool
{
    if (options_.fanOut_.kind_ == FanOut::WatchAll || !freshness_.hasHeardPeer())
        return true;
    const auto watchers = members_.watchers(members_.self().domain_, options_.fanOut_.watchers_);
    return std::find(watchers.begin(), watchers.end(), members_.self().id_.name_) != watchers.end();
}

} // namespace sapphirepass

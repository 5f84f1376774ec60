#include "gateway/upstreams/upstream_set.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Ejection time after a lost attempt; doubles with each consecutive one. A crashed upstream restarts within seconds.
    constexpr Duration initialEjection = 250ms;
    constexpr Duration maxEjection = 2s;
    // An address that another upstream has taken over stays with that upstream; discovery reports the change when it can.
    constexpr Duration wrongUpstreamEjection = 10s;
    // Time constant of the failure rate, which decays to about a third (1/e) over this time: a few requests at usual rates.
    constexpr Duration failureDecayTime = 1500ms;
    // The request rate that a cold upstream can take is measured over one second. An upstream that was in use when it
    // became cold therefore gets no requests for that long.
    constexpr Duration coldStartPause = 1s;
    // After a restore, entries of upstreams that have ended expire within this time: three of their report intervals.
    constexpr Duration restoredEntryLifetime = 5s;
    // Weight of the latest attempt in the failure rate.
    constexpr double failureWeight = 0.25;
}

UpstreamSet::UpstreamSet(const Clock& clock, std::map<std::string, std::string> regionOfDomain)
    : clock_(clock)
    , regionOfDomain_(std::move(regionOfDomain))
    , departed_(clock)
{
    for (const auto& [domain, region] : regionOfDomain_)
        regions_.insert(region);
}

auto UpstreamSet::replaceAll(const std::vector<UpstreamEntry>& entries, Duration removalGrace) -> void
{
    std::set<std::string> named;
    withheld_.clear();
    for (const auto& entry : entries) {
        if (clock_.now() < withholdUntil_ && isOutdated(entry)) {
            withheld_[entry.id_] = entry;
            continue;
        }
        named.insert(entry.id_);
        put(entry);
    }
    std::vector<std::string> missing;
    for (const auto& [id, upstream] : byId_) {
        if (!named.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, removalGrace);
}

auto UpstreamSet::recordRestore() -> void
{
    withholdUntil_ = clock_.now() + restoredEntryLifetime;
}

auto UpstreamSet::isOutdated(const UpstreamEntry& entry) const -> bool
{
    const auto found = byId_.find(entry.id_);
    if (found == byId_.end())
        return departed_.isOutdated(entry);
    return entry.startTimeMs_ < found->second->entry_.startTimeMs_;
}

auto UpstreamSet::makeUpstream(const UpstreamEntry& entry) const -> UpstreamPtr
{
    auto upstream = std::make_shared<Upstream>();
    upstream->entry_ = entry;
    upstream->region_ = regionOf(entry.domain_);
    if (const auto* departed = departed_.find(entry))
        upstream->notices_ = departed->notices_;
    return upstream;
}

auto UpstreamSet::ofStart(const std::string& id, std::int64_t startTimeMs) -> UpstreamPtr
{
    if (const auto found = byId_.find(id); found != byId_.end() && found->second->entry_.startTimeMs_ == startTimeMs)
        return found->second;
    auto unlisted = std::make_shared<Upstream>();
    unlisted->entry_.id_ = id;
    unlisted->entry_.startTimeMs_ = startTimeMs;
    unlisted->notices_ = departed_.noticesOf(id, startTimeMs);
    unlisted->retired_ = true;
    return unlisted;
}

// A drain is final for a start: an entry that says otherwise is older.
auto UpstreamSet::put(const UpstreamEntry& entry) -> void
{
    const auto now = clock_.now();
    withheld_.erase(entry.id_);
    auto& slot = byId_[entry.id_];
    const bool sameStart = slot && isSameStart(slot->entry_, entry);
    if (sameStart) {
        const bool isDraining = slot->entry_.state_ == UpstreamState::Draining;
        slot->entry_ = entry;
        if (isDraining)
            slot->entry_.state_ = UpstreamState::Draining;
        slot->removeAt_.reset();
    } else {
        if (slot)
            retire(*slot);
        slot = makeUpstream(entry);
        byKey_.emplace(upstreamKey(entry), slot);
    }
    slot->listedColdUntil_ = now + entry.coldLeft_;
    if (!sameStart && entry.coldLeft_ > Duration::zero())
        slot->coldUntil_ = slot->reportedColdUntil_ = now + entry.coldLeft_;
    else
        markCold(*slot, entry.coldLeft_);
    rebuildServices();
}

auto UpstreamSet::remove(const std::string& id, Duration removalGrace) -> void
{
    withheld_.erase(id);
    const auto found = byId_.find(id);
    if (found == byId_.end() || found->second->removeAt_)
        return;
    if (removalGrace > Duration::zero() && found->second->entry_.state_ == UpstreamState::Ready) {
        found->second->removeAt_ = clock_.now() + removalGrace;
        return;
    }
    retire(*found->second);
    byId_.erase(found);
    rebuildServices();
}

auto UpstreamSet::retire(Upstream& upstream) -> void
{
    upstream.retired_ = true;
    if (upstream.entry_.state_ == UpstreamState::Draining)
        upstream.notices_->isLeaving_ = true;
    departed_.record({ upstream.entry_, upstream.notices_ });
    const auto [first, last] = byKey_.equal_range(upstreamKey(upstream.entry_));
    const auto found = std::find_if(first, last, [&upstream](const auto& item) { return item.second.get() == &upstream; });
    if (found != last)
        byKey_.erase(found);
}

// Keys are short, so two upstreams can have the same one. An observation of either is then of no use.
auto UpstreamSet::ofKey(UpstreamKey key) const -> UpstreamPtr
{
    const auto [first, last] = byKey_.equal_range(key);
    return first != last && std::next(first) == last ? first->second : nullptr;
}

auto UpstreamSet::removeExpired() -> std::vector<std::string>
{
    const auto now = clock_.now();
    departed_.removeExpired();
    if (now >= withholdUntil_) {
        for (const auto& [id, entry] : std::exchange(withheld_, {}))
            put(entry);
    }
    std::vector<std::string> removed;
    std::erase_if(byId_, [this, now, &removed](const auto& item) {
        const bool over = item.second->removeAt_ && *item.second->removeAt_ <= now;
        if (over) {
            retire(*item.second);
            removed.push_back(item.first);
        }
        return over;
    });
    if (!removed.empty())
        rebuildServices();
    return removed;
}

auto UpstreamSet::rebuildServices() -> void
{
    byService_.clear();
    for (const auto& [id, upstream] : byId_)
        byService_[upstream->entry_.service_].push_back(upstream);
}

auto UpstreamSet::ofService(const std::string& service) const -> const ServiceUpstreams&
{
    static const ServiceUpstreams none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

auto UpstreamSet::isEligible(const Upstream& upstream) const -> bool
{
    return !upstream.retired_ && !upstream.notices_->isLeaving_ && upstream.entry_.state_ == UpstreamState::Ready && !evacuated_.contains(upstream.entry_.domain_);
}

auto UpstreamSet::regionOf(const std::string& domain) const -> std::string
{
    const auto found = regionOfDomain_.find(domain);
    return found == regionOfDomain_.end() ? std::string() : found->second;
}

auto UpstreamSet::noteSent(Upstream& upstream, MonotonicTime sentAt) -> void
{
    ++upstream.inFlight_;
    upstream.sentAt_.insert(sentAt);
}

auto UpstreamSet::noteEnded(Upstream& upstream, MonotonicTime sentAt) -> void
{
    --upstream.inFlight_;
    if (const auto sent = upstream.sentAt_.find(sentAt); sent != upstream.sentAt_.end())
        upstream.sentAt_.erase(sent);
}

auto UpstreamSet::noteAttempt(Upstream& upstream, AttemptHealth health) -> void
{
    const auto now = clock_.now();
    const double decayed = upstream.failureRate_ * std::exp(-inSeconds(now - upstream.failureRateAt_) / inSeconds(failureDecayTime));
    if (upstream.consecutiveLosses_ == 0) {
        upstream.lossesSince_ = now;
        upstream.coldUntilBeforeLosses_ = upstream.coldUntil_;
        upstream.failureRateBeforeLosses_ = decayed;
    }
    const double newest = health == AttemptHealth::Answered ? 0 : 1;
    upstream.failureRate_ = decayed * (1 - failureWeight) + newest * failureWeight;
    upstream.failureRateAt_ = now;
    if (health == AttemptHealth::WrongUpstream)
        upstream.ejectedUntil_ = now + wrongUpstreamEjection;
    if (health != AttemptHealth::Lost) {
        upstream.consecutiveLosses_ = 0;
        return;
    }
    const int doublings = std::min(upstream.consecutiveLosses_++, 4);
    upstream.ejectedUntil_ = now + std::min<Duration>(maxEjection, initialEjection * (1 << doublings));
    // After a second loss the upstream may have crashed; the process that answers next has then just started and is cold.
    const auto coldDuration = coldDurations_.find(upstream.entry_.service_);
    if (coldDuration != coldDurations_.end() && upstream.consecutiveLosses_ >= 2)
        upstream.coldUntil_ = std::max(upstream.coldUntil_, upstream.ejectedUntil_ + coldDuration->second);
}

auto UpstreamSet::revertLosses(const std::string& region, MonotonicTime since) -> void
{
    for (const auto& [id, upstream] : byId_) {
        if (upstream->region_ != region || upstream->consecutiveLosses_ == 0 || upstream->lossesSince_ < since)
            continue;
        upstream->consecutiveLosses_ = 0;
        upstream->ejectedUntil_ = {};
        upstream->failureRate_ = upstream->failureRateBeforeLosses_;
        upstream->coldUntil_ = std::max(upstream->reportedColdUntil_, upstream->coldUntilBeforeLosses_);
    }
}

auto UpstreamSet::coldCount() const -> std::size_t
{
    const auto now = clock_.now();
    return static_cast<std::size_t>(std::count_if(byId_.begin(), byId_.end(), [now](const auto& item) { return item.second->coldUntil_ > now; }));
}

auto UpstreamSet::noteCold(const std::string& id, Duration left) -> void
{
    if (const auto found = byId_.find(id); found != byId_.end())
        markCold(*found->second, left);
}

auto UpstreamSet::markCold(Upstream& upstream, Duration left) -> void
{
    const auto now = clock_.now();
    if (left <= Duration::zero())
        return;
    if (upstream.coldUntil_ <= now)
        upstream.nextColdSend_ = now + coldStartPause;
    upstream.coldUntil_ = std::max(upstream.coldUntil_, now + left);
    upstream.reportedColdUntil_ = std::max(upstream.reportedColdUntil_, now + left);
}

auto UpstreamSet::recordPause(Upstream& upstream, Duration pause) -> void
{
    auto& until = upstream.notices_->pausedUntil_;
    until = std::max(until, clock_.now() + pause);
}

auto UpstreamSet::recordLimit(Upstream& upstream, const NamedLimit& limit) -> bool
{
    auto& known = upstream.notices_->limit_;
    if (limit.observedAt_ < known.observedAt_ || (limit.observedAt_ == known.observedAt_ && !limit.perSecond_))
        return false;
    const bool changes = limit.perSecond_ != known.perSecond_;
    known = limit;
    return changes;
}

auto UpstreamSet::limitedCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(byId_.begin(), byId_.end(), [](const auto& item) { return item.second->notices_->limit_.perSecond_.has_value(); }));
}

auto UpstreamSet::pauseLeft(const Upstream& upstream) const -> Duration
{
    return std::max<Duration>(Duration::zero(), upstream.notices_->pausedUntil_ - clock_.now());
}

auto UpstreamSet::noteLoad(Upstream& upstream, ReportedLoad load) -> void
{
    upstream.load_ = load;
    upstream.loadAt_ = clock_.now();
}

// Of observations at the same time the greater load counts, so that the order in which they arrive makes no difference.
auto UpstreamSet::recordSharedLoad(Upstream& upstream, const ReportedLoad& load, MonotonicTime at) -> void
{
    const bool isKnownLater = upstream.sharedLoadAt_ > at || (upstream.sharedLoadAt_ == at && upstream.sharedLoad_ >= load);
    if (upstream.sharedLoad_ && isKnownLater)
        return;
    upstream.sharedLoad_ = load;
    upstream.sharedLoadAt_ = at;
}

auto UpstreamSet::freshSharedLoad(const Upstream& upstream) const -> std::optional<ReportedLoad>
{
    return clock_.now() - upstream.sharedLoadAt_ <= maxSharedLoadAge ? upstream.sharedLoad_ : std::nullopt;
}

} // namespace sapphirepass

#include "admission/escrow_membership.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    auto contains(const std::vector<HolderId>& list, const HolderId& id) -> bool
    {
        return std::find(list.begin(), list.end(), id) != list.end();
    }

    // Holders register at the end of the list, so a later entry with the same name is a later generation.
    auto isReplaced(const std::vector<HolderId>& holders, const HolderId& id) -> bool
    {
        const auto own = std::find(holders.begin(), holders.end(), id);
        return own != holders.end() && std::any_of(own + 1, holders.end(), [&](const auto& other) { return other.name_ == id.name_; });
    }

    auto majorityOf(std::size_t count) -> std::size_t
    {
        return count / 2 + 1;
    }

    auto toNanos(MonotonicTime time) -> std::int64_t
    {
        return time.time_since_epoch().count();
    }
}

EscrowMembership::EscrowMembership(HolderId self)
    : self_(std::move(self))
{
}

auto EscrowMembership::isRegistered() const -> bool
{
    return contains(record_.holders_, self_);
}

auto EscrowMembership::majorityConfirmed(MonotonicTime now) const -> std::optional<MonotonicTime>
{
    std::vector<MonotonicTime> times;
    for (const auto& voter : record_.voters_) {
        const auto pong = pongs_.find(voter);
        if (voter == self_)
            times.push_back(now);
        else if (pong != pongs_.end())
            times.push_back(pong->second);
    }
    const auto needed = majorityOf(record_.voters_.size());
    if (times.size() < needed)
        return std::nullopt;
    std::sort(times.rbegin(), times.rend());
    return times[needed - 1];
}

auto EscrowMembership::leaseEnd(MonotonicTime now) const -> MonotonicTime
{
    if (!storeConfirmed_)
        return MonotonicTime::min();
    const auto byStore = *storeConfirmed_ + escrowLease;
    // Until the report is acknowledged, the issuer relies on the expiry of this lease, so voters must not extend it.
    const auto majority = confirmed_ && reported_ && record_.epoch_ == epoch_ ? majorityConfirmed(now) : std::nullopt;
    if (!majority)
        return byStore;
    return std::max(byStore, std::min(*majority + escrowLease, *storeConfirmed_ + storeOutageLease));
}

auto EscrowMembership::observe(const EpochRecord& record, MonotonicTime callStarted, MonotonicTime now) -> EpochAction
{
    if (record.epoch_ < record_.epoch_)
        return EpochAction::None;
    record_ = record;
    if (!isRegistered())
        return epoch_ > 0 ? EpochAction::Restart : EpochAction::None;
    if (epoch_ < record_.epoch_) {
        // A complete epoch lists only holders that reported, or that joined later without shares. This holder still has
        // shares of an earlier epoch, so it may not enter with them.
        if (record_.complete_ && epoch_ > 0)
            return EpochAction::Restart;
        if (!storeConfirmed_)
            storeConfirmed_ = callStarted - escrowLease;
        if (record_.issuer_ == self_)
            startIssuing(now);
        return EpochAction::Enter;
    }
    reported_ = reported_ || record_.complete_;
    if (reported_) {
        storeConfirmed_ = std::max(*storeConfirmed_, callStarted);
        confirmed_ = true;
    }
    return EpochAction::None;
}

auto EscrowMembership::epochEntered(std::vector<BudgetShare> carriedShares) -> void
{
    epoch_ = record_.epoch_;
    reported_ = record_.complete_;
    pongs_.clear();
    carriedShares_ = std::move(carriedShares);
    if (record_.issuer_ != self_)
        return;
    reports_[self_] = carriedShares_;
    reported_ = true;
}

auto EscrowMembership::restart(std::uint64_t generation) -> void
{
    auto record = std::move(record_);
    *this = EscrowMembership({ self_.name_, generation });
    record_ = std::move(record);
}

auto EscrowMembership::report() const -> std::optional<EscrowMessage>
{
    if (epoch_ == 0 || reported_)
        return std::nullopt;
    return EscrowMessage { EscrowMessageKind::Report, epoch_, self_, record_.issuer_, 0, {}, carriedShares_ };
}

auto EscrowMembership::reportAcknowledged(const EscrowMessage& message) -> void
{
    if (message.epoch_ == epoch_ && message.to_ == self_)
        reported_ = true;
}

auto EscrowMembership::pings(MonotonicTime now) const -> std::vector<EscrowMessage>
{
    std::vector<EscrowMessage> messages;
    if (!reported_ || record_.epoch_ != epoch_)
        return messages;
    for (const auto& voter : record_.voters_) {
        if (voter != self_)
            messages.push_back({ EscrowMessageKind::Ping, epoch_, self_, voter, toNanos(now) });
    }
    return messages;
}

auto EscrowMembership::answerPing(const EscrowMessage& ping) const -> std::optional<EscrowMessage>
{
    if (ping.to_ != self_ || ping.epoch_ != epoch_ || record_.epoch_ != epoch_)
        return std::nullopt;
    return EscrowMessage { EscrowMessageKind::Pong, epoch_, self_, ping.from_, ping.number_ };
}

auto EscrowMembership::receivePong(const EscrowMessage& pong) -> void
{
    if (pong.to_ != self_ || pong.epoch_ != epoch_)
        return;
    const MonotonicTime sent { Duration(pong.number_) };
    auto& last = pongs_.try_emplace(pong.from_, sent).first->second;
    last = std::max(last, sent);
}

auto EscrowMembership::nextEpoch(const std::set<HolderId>& suspects) const -> EpochRecord
{
    auto next = record_;
    ++next.epoch_;
    next.issuer_ = self_;
    next.complete_ = false;
    if (record_.complete_)
        next.earlierVoters_.clear();
    if (!record_.voters_.empty())
        next.earlierVoters_.push_back(record_.voters_);
    if (!contains(next.holders_, self_))
        next.holders_.push_back(self_);
    next.voters_ = { self_ };
    for (const auto& holder : next.holders_) {
        if (holder != self_ && !suspects.contains(holder) && !isReplaced(next.holders_, holder) && next.voters_.size() < maxVoters)
            next.voters_.push_back(holder);
    }
    return next;
}

auto EscrowMembership::withSelf() const -> EpochRecord
{
    auto changed = record_;
    changed.holders_.push_back(self_);
    return changed;
}

auto EscrowMembership::withoutSelf() const -> EpochRecord
{
    auto changed = record_;
    std::erase(changed.holders_, self_);
    std::erase(changed.voters_, self_);
    for (auto& voters : changed.earlierVoters_)
        std::erase(voters, self_);
    return changed;
}

auto EscrowMembership::startIssuing(MonotonicTime now) -> void
{
    openedAt_ = now;
    promisedAt_.reset();
    holdersAtOpening_ = record_.holders_;
    reports_.clear();
    settled_ = false;
    issued_.clear();
}

auto EscrowMembership::receiveReport(const EscrowMessage& report, MonotonicTime now) -> std::optional<EscrowMessage>
{
    if (!isIssuer() || report.epoch_ != epoch_ || report.to_ != self_)
        return std::nullopt;
    const bool known = reports_.contains(report.from_);
    const bool joinedLater = !contains(holdersAtOpening_, report.from_);
    // After settlement the reporter's shares may have been issued again.
    if (settled_ && !known && !joinedLater)
        return std::nullopt;
    if (!known && !joinedLater)
        reports_[report.from_] = report.shares_;
    if (!promisedAt_ && hasMajorityPromised())
        promisedAt_ = now;
    return EscrowMessage { EscrowMessageKind::ReportAcknowledge, epoch_, self_, report.from_ };
}

// A voter that has reported, or whose name a later generation uses, no longer confirms earlier epochs.
auto EscrowMembership::hasPromised(const HolderId& voter) const -> bool
{
    if (reports_.contains(voter))
        return true;
    return isReplaced(record_.holders_, voter);
}

auto EscrowMembership::hasMajorityPromised() const -> bool
{
    return std::all_of(record_.earlierVoters_.begin(), record_.earlierVoters_.end(), [this](const auto& voters) {
        const auto promised = std::count_if(voters.begin(), voters.end(), [this](const auto& voter) { return hasPromised(voter); });
        return voters.empty() || static_cast<std::size_t>(promised) >= majorityOf(voters.size());
    });
}

auto EscrowMembership::allReported() const -> bool
{
    return std::all_of(holdersAtOpening_.begin(), holdersAtOpening_.end(), [this](const auto& holder) { return reports_.contains(holder); });
}

auto EscrowMembership::isSettled(MonotonicTime now) -> bool
{
    if (!isIssuer())
        return false;
    if (!promisedAt_ && hasMajorityPromised())
        promisedAt_ = now;
    const bool expired = promisedAt_ && now >= std::max(openedAt_, *promisedAt_) + escrowReissueDelay;
    settled_ = settled_ || allReported() || expired || now >= openedAt_ + storeOutageReissueDelay;
    return settled_;
}

auto EscrowMembership::issue(const BudgetId& id) -> Fraction
{
    if (!settled_ || !isIssuer() || !issued_.insert(id).second)
        return 0;
    Fraction held = 0;
    for (const auto& [holder, shares] : reports_) {
        for (const auto& share : shares)
            held += share.budget_ == id ? share.share_.fraction_ : 0;
    }
    return std::max<Fraction>(0, fullFraction - held);
}

auto EscrowMembership::completedRecord() const -> std::optional<EpochRecord>
{
    if (!isIssuer() || !settled_ || record_.complete_)
        return std::nullopt;
    auto done = record_;
    done.complete_ = true;
    done.earlierVoters_.clear();
    std::erase_if(done.holders_, [this](const auto& holder) { return contains(holdersAtOpening_, holder) && !reports_.contains(holder); });
    return done;
}

} // namespace sapphirepass

// FleetCore queries for operators: members, and where a revision is in force.
#include "fleet/fleet_core.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Limit on the unconfirmed instances that an answer names.
    constexpr std::size_t maxMissingNames = 16;
}

auto FleetCore::ownMember() const -> Member
{
    auto own = members_.self();
    const auto snapshot = state_.snapshot();
    own.revision_ = snapshot->revision();
    own.stateHash_ = snapshot->stateHash();
    own.age_ = std::chrono::milliseconds(0);
    return own;
}

auto FleetCore::hasInForce(const Member& member, const InForceAsk& ask) const -> bool
{
    if (member.id_.name_ == members_.self().id_.name_)
        return relay_.revision() >= ask.revision_ && emergencyWithdrawals_.includesSet(ask.withdrawalHash_);
    const auto* status = members_.peerStatus(member.id_.name_);
    if (status == nullptr || status->revision_ < ask.revision_)
        return false;
    return ask.withdrawalHash_ == 0 || status->withdrawalHash_ == ask.withdrawalHash_;
}

auto FleetCore::countInForce(const InForceAsk& ask, const std::string& domain) const -> InForceAnswer
{
    InForceAnswer answer { ask, domain, 0, 0, {} };
    for (const auto* member : members_.list().domainMembers(domain)) {
        ++answer.total_;
        if (hasInForce(*member, ask))
            ++answer.confirmed_;
        else if (answer.behind_.size() < maxMissingNames)
            answer.behind_.push_back(member->id_.name_);
    }
    return answer;
}

auto FleetCore::inForce(const InForceAsk& ask) const -> InForceStatus
{
    InForceStatus count;
    for (const auto& [domain, list] : members_.list().domains()) {
        auto best = countInForce(ask, domain);
        const auto answered = inForceAnswers_.find(domain);
        if (ask == lastInForceAsk_ && answered != inForceAnswers_.end() && answered->second.confirmed_ > best.confirmed_)
            best = answered->second;
        // The total comes from this instance's own list, so that an answer based on a shorter list hides no
        // instance.
        count.total_ += list.size();
        count.confirmed_ += std::min<std::size_t>(best.confirmed_, list.size());
        if (best.confirmed_ < list.size())
            count.missing_.insert(count.missing_.end(), best.behind_.begin(), best.behind_.end());
    }
    count.listed_ = members_.isListed();
    std::sort(count.missing_.begin(), count.missing_.end());
    return count;
}

auto FleetCore::describeMembers() const -> std::vector<Member>
{
    std::vector<Member> rows;
    for (const auto& listed : members_.list().members()) {
        auto row = listed;
        row.age_ = std::chrono::hours(24);
        if (const auto* status = members_.peerStatus(row.id_.name_)) {
            row.id_.incarnation_ = status->incarnation_;
            row.revision_ = status->revision_;
            row.stateHash_ = status->stateHash_;
            row.age_ = std::chrono::ceil<std::chrono::milliseconds>(clock_.now() - status->lastHeard_);
        }
        rows.push_back(row.id_.name_ == members_.self().id_.name_ ? ownMember() : row);
    }
    return rows;
}

auto FleetCore::watcherRank() const -> std::size_t
{
    std::size_t rank = 0;
    for (const auto& [domain, list] : members_.list().domains()) {
        for (const auto& watcher : members_.watchers(domain, options_.fanOut_.watchers_)) {
            if (watcher == members_.self().id_.name_)
                return rank;
            ++rank;
        }
    }
    return rank;
}

} // namespace sapphirepass

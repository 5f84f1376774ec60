#include "fleet/member_table.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    // Consecutive unanswered digest requests after which an instance is skipped.
    constexpr int maxUnansweredRequests = 3;
    // Time after the last request to an unresponsive instance before it is tried again.
    constexpr auto unresponsiveRetryDelay = 20s;
    // Time that a membership record received from a peer is kept after the last sign of that instance.
    constexpr auto reportedMemberTtl = 60s;
    // Bounds the memory that reports from peers can take.
    constexpr std::size_t maxReportedMembers = 2'048;
    constexpr int maxPickAttempts = 8;
}

MemberTable::MemberTable(Member self, const Clock& clock)
    : self_(std::move(self))
    , clock_(clock)
    , platformList_(std::make_shared<const MemberList>())
{
    rebuild();
}

auto MemberTable::setPlatformList(MemberListPtr listed) -> void
{
    platformList_ = std::move(listed);
    std::erase_if(departed_, [this](const auto& entry) { return platformList_->find(entry.first) == nullptr; });
    rebuild();
}

auto MemberTable::recordMember(const Member& member) -> void
{
    const auto& name = member.id_.name_;
    if (name == self_.id_.name_)
        return;
    if (member.leaving_) {
        departed_[name] = member.id_.incarnation_;
        reportedMembers_.erase(name);
        rebuild();
        return;
    }
    const auto left = departed_.find(name);
    if (left != departed_.end() && left->second == member.id_.incarnation_)
        return;
    const auto* known = list_->find(name);
    if (reportedMembers_.contains(name) || known == nullptr || left != departed_.end()) {
        if (reportedMembers_.size() >= maxReportedMembers && !reportedMembers_.contains(name))
            return;
        departed_.erase(name);
        reportedMembers_[name] = { member, clock_.now() - std::min<Duration>(member.age_, 1h) };
        if (known == nullptr || known->peer_ != member.peer_)
            rebuild();
    }
}

auto MemberTable::recordDigest(const InstanceId& from, const Digest& digest) -> bool
{
    auto& status = peerStatuses_[from.name_];
    if (status.previousIncarnation_ == from.incarnation_ && from.incarnation_ != 0)
        return false;
    const bool sameRun = status.incarnation_ == from.incarnation_;
    if (!sameRun)
        status.previousIncarnation_ = status.incarnation_;
    status.incarnation_ = from.incarnation_;
    status.lastHeard_ = clock_.now();
    status.unansweredRequests_ = 0;
    status.withdrawalHash_ = digest.withdrawalHash_;
    // Digests of one incarnation may arrive out of order, but its revision never decreases.
    if (!sameRun || digest.revision_ >= status.revision_) {
        status.revision_ = digest.revision_;
        status.stateHash_ = digest.stateHash_;
    }
    return true;
}

auto MemberTable::recordIndirectStatus(const Member& member) -> void
{
    const auto at = clock_.now() - std::min<Duration>(member.age_, 1h);
    if (member.id_.name_ == self_.id_.name_ || member.id_.incarnation_ == 0 || member.age_ >= 1h)
        return;
    auto& status = peerStatuses_[member.id_.name_];
    if (status.lastHeard_ >= at || status.previousIncarnation_ == member.id_.incarnation_)
        return;
    if (status.incarnation_ != member.id_.incarnation_)
        status.previousIncarnation_ = status.incarnation_;
    status.incarnation_ = member.id_.incarnation_;
    status.revision_ = member.revision_;
    status.stateHash_ = member.stateHash_;
    status.lastHeard_ = at;
}

auto MemberTable::recordDigestRequest(const std::string& name) -> void
{
    auto& status = peerStatuses_[name];
    ++status.unansweredRequests_;
    status.lastRequest_ = clock_.now();
}

auto MemberTable::peerStatus(const std::string& name) const -> const PeerStatus*
{
    const auto found = peerStatuses_.find(name);
    return found == peerStatuses_.end() || found->second.lastHeard_ == MonotonicTime {} ? nullptr : &found->second;
}

auto MemberTable::isAvailable(const std::string& name) const -> bool
{
    const auto found = peerStatuses_.find(name);
    if (found == peerStatuses_.end() || found->second.unansweredRequests_ < maxUnansweredRequests)
        return true;
    return clock_.now() - found->second.lastRequest_ > unresponsiveRetryDelay;
}

auto MemberTable::hasOthers() const -> bool
{
    const auto& members = list_->members();
    return std::any_of(members.begin(), members.end(), [this](const Member& member) { return member.id_.name_ != self_.id_.name_; });
}

auto MemberTable::watchers(const std::string& domain, std::size_t count) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto* member : list_->domainMembers(domain)) {
        if (names.size() == count)
            break;
        if (member->id_.name_ == self_.id_.name_ || isAvailable(member->id_.name_))
            names.push_back(member->id_.name_);
    }
    return names;
}

auto MemberTable::pickInDomain(const std::string& domain, std::mt19937_64& random) const -> std::string
{
    const auto& members = list_->domainMembers(domain);
    for (int attempt = 0; attempt < maxPickAttempts && !members.empty(); ++attempt) {
        const auto& name = members[std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(random)]->id_.name_;
        if (name != self_.id_.name_ && isAvailable(name))
            return name;
    }
    return {};
}

auto MemberTable::pickRandom(std::mt19937_64& random) const -> std::string
{
    const auto& members = list_->members();
    for (int attempt = 0; attempt < maxPickAttempts && !members.empty(); ++attempt) {
        const auto& name = members[std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(random)].id_.name_;
        if (name != self_.id_.name_ && isAvailable(name))
            return name;
    }
    return {};
}

auto MemberTable::removeExpired() -> void
{
    const auto before = reportedMembers_.size();
    std::erase_if(reportedMembers_, [this](const auto& entry) {
        const auto* lastStatus = peerStatus(entry.first);
        const auto last = std::max(entry.second.reportedAt_, lastStatus == nullptr ? MonotonicTime {} : lastStatus->lastHeard_);
        return clock_.now() - last > reportedMemberTtl;
    });
    if (reportedMembers_.size() != before)
        rebuild();
}

auto MemberTable::rebuild() -> void
{
    ++generation_;
    if (reportedMembers_.empty() && departed_.empty() && platformList_->find(self_.id_.name_) != nullptr) {
        list_ = platformList_;
        return;
    }
    auto members = platformList_->members();
    std::erase_if(members, [this](const Member& member) { return departed_.contains(member.id_.name_) || reportedMembers_.contains(member.id_.name_) || member.id_.name_ == self_.id_.name_; });
    for (const auto& [name, reportedMember] : reportedMembers_)
        members.push_back(reportedMember.member_);
    members.push_back(self_);
    list_ = std::make_shared<const MemberList>(std::move(members));
}

} // namespace sapphirepass

#include "fleet/member_table.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    // Questions in a row without an answer after which an instance is passed over.
    constexpr int silentAfter = 3;
    // A silent instance is asked again after this time.
    constexpr auto retrySilent = 20s;
    // Learned instances that the platform does not list are kept this long without news.
    constexpr auto keepLearned = 60s;
    constexpr std::size_t maxLearned = 2'048;
    constexpr int pickAttempts = 8;
}

MemberTable::MemberTable(Member self, const Clock& clock)
    : self_(std::move(self))
    , clock_(clock)
    , listed_(std::make_shared<const MemberList>())
{
    rebuild();
}

auto MemberTable::setPlatformList(MemberListPtr listed) -> void
{
    listed_ = std::move(listed);
    std::erase_if(left_, [this](const auto& entry) { return listed_->find(entry.first) == nullptr; });
    rebuild();
}

auto MemberTable::learn(const Member& member) -> void
{
    const auto& name = member.id_.name_;
    if (name == self_.id_.name_)
        return;
    if (member.leaving_) {
        left_[name] = member.id_.incarnation_;
        learned_.erase(name);
        rebuild();
        return;
    }
    const auto left = left_.find(name);
    if (left != left_.end() && left->second == member.id_.incarnation_)
        return;
    const auto* known = list_->find(name);
    if (learned_.contains(name) || known == nullptr || left != left_.end()) {
        if (learned_.size() >= maxLearned && !learned_.contains(name))
            return;
        left_.erase(name);
        learned_[name] = { member, clock_.now() - std::min<Duration>(member.age_, 1h) };
        if (known == nullptr || known->peer_ != member.peer_)
            rebuild();
    }
}

auto MemberTable::hear(const InstanceId& from, const Digest& digest) -> bool
{
    auto& heard = heard_[from.name_];
    if (heard.replaced_ == from.incarnation_ && from.incarnation_ != 0)
        return false;
    const bool sameRun = heard.incarnation_ == from.incarnation_;
    if (!sameRun)
        heard.replaced_ = heard.incarnation_;
    heard.incarnation_ = from.incarnation_;
    heard.at_ = clock_.now();
    heard.unanswered_ = 0;
    heard.withdrawalHash_ = digest.withdrawalHash_;
    // Digests of one run may come out of order; its revision only rises.
    if (!sameRun || digest.revision_ >= heard.revision_) {
        heard.revision_ = digest.revision_;
        heard.stateHash_ = digest.stateHash_;
    }
    return true;
}

auto MemberTable::hearFrom(const Member& member) -> void
{
    const auto at = clock_.now() - std::min<Duration>(member.age_, 1h);
    if (member.id_.name_ == self_.id_.name_ || member.id_.incarnation_ == 0 || member.age_ >= 1h)
        return;
    auto& heard = heard_[member.id_.name_];
    if (heard.at_ >= at || heard.replaced_ == member.id_.incarnation_)
        return;
    if (heard.incarnation_ != member.id_.incarnation_)
        heard.replaced_ = heard.incarnation_;
    heard.incarnation_ = member.id_.incarnation_;
    heard.revision_ = member.revision_;
    heard.stateHash_ = member.stateHash_;
    heard.at_ = at;
}

auto MemberTable::recordQuestion(const std::string& name) -> void
{
    auto& heard = heard_[name];
    ++heard.unanswered_;
    heard.asked_ = clock_.now();
}

auto MemberTable::heard(const std::string& name) const -> const Heard*
{
    const auto found = heard_.find(name);
    return found == heard_.end() || found->second.at_ == MonotonicTime {} ? nullptr : &found->second;
}

auto MemberTable::isAvailable(const std::string& name) const -> bool
{
    const auto found = heard_.find(name);
    if (found == heard_.end() || found->second.unanswered_ < silentAfter)
        return true;
    return clock_.now() - found->second.asked_ > retrySilent;
}

auto MemberTable::hasOthers() const -> bool
{
    const auto& members = list_->members();
    return std::any_of(members.begin(), members.end(), [this](const Member& member) { return member.id_.name_ != self_.id_.name_; });
}

auto MemberTable::watchers(const std::string& domain, std::size_t count) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto* member : list_->ofDomain(domain)) {
        if (names.size() == count)
            break;
        if (member->id_.name_ == self_.id_.name_ || isAvailable(member->id_.name_))
            names.push_back(member->id_.name_);
    }
    return names;
}

auto MemberTable::pick(const std::string& domain, std::mt19937_64& random) const -> std::string
{
    const auto& members = list_->ofDomain(domain);
    for (int attempt = 0; attempt < pickAttempts && !members.empty(); ++attempt) {
        const auto& name = members[std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(random)]->id_.name_;
        if (name != self_.id_.name_ && isAvailable(name))
            return name;
    }
    return {};
}

auto MemberTable::pickAny(std::mt19937_64& random) const -> std::string
{
    const auto& members = list_->members();
    for (int attempt = 0; attempt < pickAttempts && !members.empty(); ++attempt) {
        const auto& name = members[std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(random)].id_.name_;
        if (name != self_.id_.name_ && isAvailable(name))
            return name;
    }
    return {};
}

auto MemberTable::forgetSilent() -> void
{
    const auto before = learned_.size();
    std::erase_if(learned_, [this](const auto& entry) {
        const auto* told = heard(entry.first);
        const auto last = std::max(entry.second.at_, told == nullptr ? MonotonicTime {} : told->at_);
        return clock_.now() - last > keepLearned;
    });
    if (learned_.size() != before)
        rebuild();
}

auto MemberTable::rebuild() -> void
{
    ++generation_;
    if (learned_.empty() && left_.empty() && listed_->find(self_.id_.name_) != nullptr) {
        list_ = listed_;
        return;
    }
    auto members = listed_->members();
    std::erase_if(members, [this](const Member& member) { return left_.contains(member.id_.name_) || learned_.contains(member.id_.name_) || member.id_.name_ == self_.id_.name_; });
    for (const auto& [name, learned] : learned_)
        members.push_back(learned.member_);
    members.push_back(self_);
    list_ = std::make_shared<const MemberList>(std::move(members));
}

} // namespace sapphirepass

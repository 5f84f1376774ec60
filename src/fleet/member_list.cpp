#include "fleet/member_list.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    auto byName(const Member& a, const Member& b) -> bool { return a.id_.name_ < b.id_.name_; }

    auto byRendezvous(const Member* a, const Member* b) -> bool
    {
        const auto hashA = hashText(a->id_.name_);
        const auto hashB = hashText(b->id_.name_);
        return hashA != hashB ? hashA < hashB : a->id_.name_ < b->id_.name_;
    }
}

MemberList::MemberList(std::vector<Member> members)
    : members_(std::move(members))
{
    std::erase_if(members_, [](const Member& member) { return member.leaving_; });
    std::sort(members_.begin(), members_.end(), byName);
    for (const auto& member : members_)
        domains_[member.domain_].push_back(&member);
    for (auto& [domain, ordered] : domains_)
        std::sort(ordered.begin(), ordered.end(), byRendezvous);
}

auto MemberList::find(const std::string& name) const -> const Member*
{
    const auto found = std::lower_bound(members_.begin(), members_.end(), name, [](const Member& member, const std::string& wanted) { return member.id_.name_ < wanted; });
    return found != members_.end() && found->id_.name_ == name ? &*found : nullptr;
}

auto MemberList::domainMembers(const std::string& domain) const -> const std::vector<const Member*>&
{
    static const std::vector<const Member*> none;
    const auto found = domains_.find(domain);
    return found == domains_.end() ? none : found->second;
}

} // namespace sapphirepass

// The instances of the fleet by failure domain, in an order that all instances with the same list agree on.
#pragma once

#include "fleet/fleet_message.h"

#include <map>
#include <memory>

namespace sapphirepass {

// Immutable, so that it can be shared.
class MemberList {
public:
    MemberList() = default;
    // Leaving members are left out.
    explicit MemberList(std::vector<Member> members);

    auto find(const std::string& name) const -> const Member*;
    auto members() const -> const std::vector<Member>& { return members_; }
    // Members of each domain by rendezvous hash; the first ones watch the store.
    auto domains() const -> const std::map<std::string, std::vector<const Member*>>& { return domains_; }
    auto ofDomain(const std::string& domain) const -> const std::vector<const Member*>&;

private:
    std::vector<Member> members_;
    std::map<std::string, std::vector<const Member*>> domains_;
};

using MemberListPtr = std::shared_ptr<const MemberList>;

} // namespace sapphirepass

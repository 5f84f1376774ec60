// Instances of the fleet, grouped by failure domain in an order that depends only on their names. All instances
// with the same list therefore agree on the watchers of each domain.
#pragma once

#include "fleet/fleet_message.h"

#include <map>
#include <memory>

namespace sapphirepass {

// Immutable, and so safe to share between threads.
class MemberList {
public:
    MemberList() = default;
    // Omits members that are leaving.
    explicit MemberList(std::vector<Member> members);

    auto find(const std::string& name) const -> const Member*;
    auto members() const -> const std::vector<Member>& { return members_; }
    // Members of each domain in rendezvous hash order; the first ones watch the store.
    auto domains() const -> const std::map<std::string, std::vector<const Member*>>& { return domains_; }
    auto domainMembers(const std::string& domain) const -> const std::vector<const Member*>&;

private:
    std::vector<Member> members_;
    std::map<std::string, std::vector<const Member*>> domains_;
};

using MemberListPtr = std::shared_ptr<const MemberList>;

} // namespace sapphirepass

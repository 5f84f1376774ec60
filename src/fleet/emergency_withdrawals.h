// Keys withdrawn while the store was unreachable and not yet in the command log. A withdrawal is never undone;
// it can only be superseded by the durable one.
#pragma once

#include "config/snapshot.h"
#include "fleet/fleet_message.h"

#include <map>
#include <set>

namespace sapphirepass {

// Further withdrawals are not accepted.
inline constexpr std::size_t maxEmergencyWithdrawals = 4096;

class EmergencyWithdrawals {
public:
    // Adds the withdrawals that are neither known yet nor durable in the snapshot, and returns those added.
    auto merge(const WithdrawalSet& set, const Snapshot& snapshot) -> WithdrawalSet;
    // Removes the withdrawals that the snapshot contains.
    auto removeDurable(const Snapshot& snapshot) -> void;
    auto isWithdrawn(std::string_view key) const -> bool { return keys_.contains(key); }
    auto all() const -> WithdrawalSet;
    auto size() const -> std::size_t { return keys_.size(); }
    // Depends only on the set of keys; 0 for the empty set.
    auto hash() const -> std::uint64_t { return hash_; }
    // Whether the set with this hash is empty, is the current one, or has been merged completely.
    auto includesSet(std::uint64_t hash) const -> bool { return hash == 0 || hash == hash_ || mergedSetHashes_.contains(hash); }

private:
    auto updateHash() -> void;

    std::map<std::string, Withdrawal, std::less<>> keys_;
    std::uint64_t hash_ = 0;
    // Hashes of sets that were merged completely, and of the current set before durable keys were removed
    // from it.
    std::set<std::uint64_t> mergedSetHashes_;
};

auto withdrawalSetHash(const WithdrawalSet& set) -> std::uint64_t;

} // namespace sapphirepass

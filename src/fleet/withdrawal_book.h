// The keys that were withdrawn while the store was down. Only ever takes away.
#pragma once

#include "config/snapshot.h"
#include "fleet/fleet_message.h"

#include <map>
#include <set>

namespace sapphirepass {

// More are not taken.
inline constexpr std::size_t maxEmergencyWithdrawals = 4096;

class WithdrawalBook {
public:
    // Adds those that are neither known nor durable in the snapshot; returns the added ones.
    auto merge(const WithdrawalSet& set, const Snapshot& snapshot) -> WithdrawalSet;
    // Drops those that the snapshot holds as withdrawn.
    auto settle(const Snapshot& snapshot) -> void;
    auto isWithdrawn(std::string_view key) const -> bool { return keys_.contains(key); }
    auto all() const -> WithdrawalSet;
    auto size() const -> std::size_t { return keys_.size(); }
    // Equal for equal sets; 0 for the empty one.
    auto hash() const -> std::uint64_t { return hash_; }
    // Whether everything in a set of that hash is known here.
    auto covers(std::uint64_t hash) const -> bool { return hash == 0 || hash == hash_ || covered_.contains(hash); }

private:
    auto updateHash() -> void;

    std::map<std::string, Withdrawal, std::less<>> keys_;
    std::uint64_t hash_ = 0;
    // Hashes of sets that were merged in full.
    std::set<std::uint64_t> covered_;
};

auto hashOf(const WithdrawalSet& set) -> std::uint64_t;

} // namespace sapphirepass

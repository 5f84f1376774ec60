#include "fleet/emergency_withdrawals.h"

namespace sapphirepass {

namespace {
    // When the limit is reached all hashes are dropped; sets that arrive again are then merged again.
    constexpr std::size_t maxMergedSetHashes = 256;
}

auto withdrawalSetHash(const WithdrawalSet& set) -> std::uint64_t
{
    std::uint64_t hash = 0;
    for (const auto& withdrawal : set.keys_)
        hash += hashText(withdrawal.key_);
    return hash;
}

auto EmergencyWithdrawals::merge(const WithdrawalSet& set, const Snapshot& snapshot) -> WithdrawalSet
{
    WithdrawalSet added;
    bool complete = true;
    for (const auto& withdrawal : set.keys_) {
        if (isWithdrawn(withdrawal.key_) || snapshot.find<WithdrawnKey>(withdrawal.key_) != nullptr)
            continue;
        if (keys_.size() == maxEmergencyWithdrawals) {
            complete = false;
            continue;
        }
        keys_.emplace(withdrawal.key_, withdrawal);
        added.keys_.push_back(withdrawal);
    }
    if (mergedSetHashes_.size() >= maxMergedSetHashes)
        mergedSetHashes_.clear();
    if (complete)
        mergedSetHashes_.insert(withdrawalSetHash(set));
    updateHash();
    return added;
}

auto EmergencyWithdrawals::removeDurable(const Snapshot& snapshot) -> void
{
    const auto before = keys_.size();
    const auto oldHash = hash_;
    std::erase_if(keys_, [&snapshot](const auto& entry) { return snapshot.find<WithdrawnKey>(entry.first) != nullptr; });
    if (keys_.size() == before)
        return;
    updateHash();
    mergedSetHashes_.insert(oldHash);
}

auto EmergencyWithdrawals::all() const -> WithdrawalSet
{
    WithdrawalSet set;
    for (const auto& [key, withdrawal] : keys_)
        set.keys_.push_back(withdrawal);
    return set;
}

auto EmergencyWithdrawals::updateHash() -> void
{
    hash_ = withdrawalSetHash(all());
}

} // namespace sapphirepass

#include "fleet/withdrawal_book.h"

namespace sapphirepass {

namespace {
    // Older ones are merged again when they come back.
    constexpr std::size_t maxCovered = 256;
}

auto hashOf(const WithdrawalSet& set) -> std::uint64_t
{
    std::uint64_t hash = 0;
    for (const auto& withdrawal : set.keys_)
        hash += hashText(withdrawal.key_);
    return hash;
}

auto WithdrawalBook::merge(const WithdrawalSet& set, const Snapshot& snapshot) -> WithdrawalSet
{
    WithdrawalSet added;
    bool whole = true;
    for (const auto& withdrawal : set.keys_) {
        if (isWithdrawn(withdrawal.key_) || snapshot.find<WithdrawnKey>(withdrawal.key_) != nullptr)
            continue;
        if (keys_.size() == maxEmergencyWithdrawals) {
            whole = false;
            continue;
        }
        keys_.emplace(withdrawal.key_, withdrawal);
        added.keys_.push_back(withdrawal);
    }
    if (covered_.size() >= maxCovered)
        covered_.clear();
    if (whole)
        covered_.insert(hashOf(set));
    updateHash();
    return added;
}

auto WithdrawalBook::settle(const Snapshot& snapshot) -> void
{
    const auto before = keys_.size();
    const auto old = hash_;
    std::erase_if(keys_, [&snapshot](const auto& entry) { return snapshot.find<WithdrawnKey>(entry.first) != nullptr; });
    if (keys_.size() == before)
        return;
    updateHash();
    covered_.insert(old);
}

auto WithdrawalBook::all() const -> WithdrawalSet
{
    WithdrawalSet set;
    for (const auto& [key, withdrawal] : keys_)
        set.keys_.push_back(withdrawal);
    return set;
}

auto WithdrawalBook::updateHash() -> void
{
    hash_ = hashOf(all());
}

} // namespace sapphirepass

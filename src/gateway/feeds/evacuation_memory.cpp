#include "gateway/feeds/evacuation_memory.h"

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Operators write lost evacuations again within seconds. Longer than that, a domain that is no longer evacuated would
    // stay without work.
    constexpr Duration keepTime = 15s;
}

EvacuationMemory::EvacuationMemory(const Clock& clock)
    : clock_(clock)
{
}

auto EvacuationMemory::setListed(std::set<std::string> domains) -> void
{
    for (const auto& domain : domains)
        kept_.erase(domain);
    listed_ = std::move(domains);
}

auto EvacuationMemory::recordRestore() -> void
{
    kept_ = current();
    keepUntil_ = clock_.now() + keepTime;
}

auto EvacuationMemory::release() -> bool
{
    if (kept_.empty() || clock_.now() < keepUntil_)
        return false;
    kept_.clear();
    return true;
}

auto EvacuationMemory::current() const -> std::set<std::string>
{
    auto domains = listed_;
    domains.insert(kept_.begin(), kept_.end());
    return domains;
}

} // namespace sapphirepass

// Evacuated failure domains, kept over a restore of the platform's store that has lost them.
#pragma once

#include "base/clock.h"

#include <set>
#include <string>

namespace sapphirepass {

class EvacuationMemory {
public:
    explicit EvacuationMemory(const Clock& clock);

    // The domains that the store lists now. One that is kept and listed again is governed by the list from then on.
    auto setListed(std::set<std::string> domains) -> void;
    // The store has returned from a copy: current evacuations are kept until they are listed again, or for a bounded time.
    auto recordRestore() -> void;
    // Drops kept evacuations whose time has ended; true if there were any.
    auto release() -> bool;
    auto current() const -> std::set<std::string>;

private:
    const Clock& clock_;
    std::set<std::string> listed_;
    std::set<std::string> kept_;
    MonotonicTime keepUntil_ {};
};

} // namespace sapphirepass

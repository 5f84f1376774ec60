// Accounts for the bytes that requests and responses send over the links between regions.
#pragma once

#include "admission/budget.h"
#include "config/snapshot.h"

#include <map>
#include <mutex>
#include <string>

namespace sapphirepass {

// A call of a service in another region.
struct CrossRegionCall {
    std::string service_;
    std::string from_;
    std::string to_;

    auto operator<=>(const CrossRegionCall&) const = default;
};

// Spends LinkBytes budgets. The size of a response is unknown in advance: the mean size so far is reserved, and any
// excess becomes a debt that is paid from the budget before anything else is sent. Thread-safe.
class LinkMeter {
public:
    explicit LinkMeter(Budgets& budgets)
        : budgets_(budgets)
    {
    }

    // Reserves bytes in both directions of the link; false if either lacks room. True if no link is declared.
    auto tryReserve(const Snapshot& snapshot, const CrossRegionCall& call, std::int64_t requestBytes) -> bool;
    auto recordResponse(const Snapshot& snapshot, const CrossRegionCall& call, std::int64_t responseBytes) -> void;

private:
    auto payDebt(const std::string& direction) -> bool;

    Budgets& budgets_;
    std::mutex mutex_;
    // Moving average by service.
    std::map<std::string, double> meanResponseBytes_;
    // Bytes already sent but not yet charged to the budget, by link and direction.
    std::map<std::string, std::int64_t> debt_;
};

} // namespace sapphirepass

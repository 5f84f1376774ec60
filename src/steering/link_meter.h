// Counts the bytes that requests and answers put on the links between regions.
#pragma once

#include "admission/budget.h"
#include "config/snapshot.h"

#include <map>
#include <mutex>
#include <string>

namespace sapphirepass {

// A service that is called from one region in another.
struct LinkUse {
    std::string service_;
    std::string from_;
    std::string to_;

    auto operator<=>(const LinkUse&) const = default;
};

// Spends LinkBytes budgets. An answer's size is unknown in advance: its mean so far is reserved, and what
// an answer takes beyond that is a debt, paid from the budget before anything else is sent. Thread-safe.
class LinkMeter {
public:
    explicit LinkMeter(Budgets& budgets)
        : budgets_(budgets)
    {
    }

    // Whether both directions of the link have room. True where no link is declared.
    auto tryReserve(const Snapshot& snapshot, const LinkUse& use, std::int64_t requestBytes) -> bool;
    auto recordResponse(const Snapshot& snapshot, const LinkUse& use, std::int64_t answerBytes) -> void;

private:
    auto payDebt(const std::string& direction) -> bool;

    Budgets& budgets_;
    std::mutex mutex_;
    // Mean bytes of an answer by service.
    std::map<std::string, double> answerMean_;
    // Bytes already sent but not yet paid, by link and direction.
    std::map<std::string, std::int64_t> debt_;
};

} // namespace sapphirepass

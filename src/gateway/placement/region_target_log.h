// Logs changes of the region shares that services are moved to.
#pragma once

#include "base/clock.h"
#include "gateway/placement/region_shares.h"
#include "gateway/requests/decision_log.h"

#include <map>
#include <string>

namespace sapphirepass {

// At most one line per service and 10 s.
class RegionTargetLog final : public RegionTargetListener {
public:
    RegionTargetLog(const Clock& clock, DecisionLog& log)
        : clock_(clock)
        , log_(log)
    {
    }

    auto onRegionTarget(const std::string& service, const RegionTarget& target) -> void override;

private:
    struct State {
        MonotonicTime loggedAt_ {};
        int leftOut_ = 0;
    };

    const Clock& clock_;
    DecisionLog& log_;
    std::map<std::string, State> states_;
};

} // namespace sapphirepass

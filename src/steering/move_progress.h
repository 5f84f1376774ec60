// Rows of "show progress": how far each planned move has come on this instance, and what holds it back.
#pragma once

#include "config/config_state.h"
#include "language/query.h"
#include "steering/region_steering.h"

namespace sapphirepass {

class MoveProgressSource final : public RowSource {
public:
    MoveProgressSource(const RegionSteering& steering, const ConfigState& config, std::string instance)
        : steering_(steering)
        , config_(config)
        , instance_(std::move(instance))
    {
    }

    auto subject() const -> std::string override { return "progress"; }
    auto rows() const -> Rows override;

private:
    const RegionSteering& steering_;
    const ConfigState& config_;
    std::string instance_;
};

} // namespace sapphirepass

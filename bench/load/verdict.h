// Checks the promises from the records of callers and upstreams.
#pragma once

#include "bench/load/experiment.h"
#include "bench/load/record_type.h"

namespace sapphirepass::load {

struct Records {
    Instant start_ { 0 };
    std::vector<CallRecord> calls_;
    std::vector<RunRecord> runs_;
    // Secrets of the bearer keys.
    std::vector<std::string> secrets_;
};

// Broken promises, one line each; empty if all held.
auto brokenPromises(const Experiment& experiment, const Records& records) -> std::vector<std::string>;

} // namespace sapphirepass::load

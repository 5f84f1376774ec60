// Third filter of the request pipeline: enforces the rate and burst of each workspace across the fleet.
#pragma once

#include "base/clock.h"
#include "base/request_type.h"
#include "base/result.h"
#include "config/config_type.h"

#include <map>
#include <mutex>
#include <string>

namespace sapphirepass {

class Admitter {
public:
    virtual ~Admitter() = default;
    // Takes one request from the workspace's rate limit, or refuses the request.
    virtual auto admit(const Workspace& workspace) -> Result<Done, Refusal> = 0;
};

// Splits rate and burst evenly among a fixed maximum number of instances. With up to that many instances
// the total never exceeds the rate, but a workspace whose requests reach only a few instances is refused
// below its rate.
class EqualSplitAdmitter final : public Admitter {
public:
    EqualSplitAdmitter(const Clock& clock, std::int64_t maxInstances);

    auto admit(const Workspace& workspace) -> Result<Done, Refusal> override;

private:
    struct Bucket {
        double tokens_ = 0;
        MonotonicTime filled_;
    };

    const Clock& clock_;
    double instances_;
    std::mutex mutex_;
    std::map<std::string, Bucket> buckets_;
};

} // namespace sapphirepass

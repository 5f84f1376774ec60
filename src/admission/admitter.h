// Third filter: holds each workspace to its rate and burst over the whole fleet.
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
    // Spends one request of the workspace's budget, or refuses.
    virtual auto admit(const Workspace& workspace) -> Result<Done, Refusal> = 0;
};

// Gives each of a bounded number of instances an equal, fixed part of rate and burst. Never over the
// rate, however many instances run, but refuses callers whose requests reach few instances.
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

// A request that is being answered.
#pragma once

namespace sapphirepass {

// Its cancel means that nobody waits for the answer any more.
class RunningRequest {
public:
    virtual ~RunningRequest() = default;
    virtual auto cancel() -> void = 0;
};

} // namespace sapphirepass

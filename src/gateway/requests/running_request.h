// Handle of a request in progress.
#pragma once

namespace sapphirepass {

// cancel() means that the response is no longer awaited.
class RunningRequest {
public:
    virtual ~RunningRequest() = default;
    virtual auto cancel() -> void = 0;
};

} // namespace sapphirepass

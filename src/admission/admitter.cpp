#include "admission/admitter.h"

#include "base/texts.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace sapphirepass {

EqualSplitAdmitter::EqualSplitAdmitter(const Clock& clock, std::int64_t maxInstances)
    : clock_(clock)
    , instances_(static_cast<double>(maxInstances))
{
}

auto EqualSplitAdmitter::admit(const Workspace& workspace) -> Result<Done, Refusal>
{
    const double rate = static_cast<double>(workspace.rate_) / instances_;
    const double burst = static_cast<double>(workspace.burst_) / instances_;
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    // A new bucket starts empty: if this instance replaces another, that one may have used up the burst already.
    auto& bucket = buckets_.try_emplace(workspace.name_, Bucket { 0, now }).first->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.filled_).count();
    bucket.tokens_ = std::min(burst, bucket.tokens_ + elapsed * rate);
    bucket.filled_ = now;
    if (bucket.tokens_ < 1) {
        const auto wait = std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil((1 - bucket.tokens_) / rate * 1000)));
        return Refusal { RefusalKind::OverRate, fmt::format(texts::rateExceeded, workspace.name_), Executed::No, wait };
    }
    bucket.tokens_ -= 1;
    return Done {};
}

} // namespace sapphirepass

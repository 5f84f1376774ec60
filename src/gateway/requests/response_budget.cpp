#include "gateway/requests/response_budget.h"

#include <algorithm>

namespace sapphirepass {

auto ResponseHold::set(std::size_t bytes) -> bool
{
    budget_.held_ += bytes;
    budget_.held_ -= bytes_;
    bytes_ = bytes;
    if (counted_)
        counted_->set(bytes == 0 ? 0 : std::max(bytes, reserved_));
    const auto total = budget_.bounds_.total_;
    const auto free = total - (budget_.held_ < total ? budget_.held_ : total);
    return bytes <= budget_.bounds_.guaranteed_ || bytes <= free;
}

// If parts of many large responses were held, none might find room for its rest.
auto ResponseHold::mayReadOn(std::size_t statedBytes) -> bool
{
    if (!counted_)
        return true;
    if (reserved_ > 0 && reserved_ == statedBytes && bytes_ <= reserved_)
        return true;
    if (!counted_->mayGrowTo(std::max(bytes_, statedBytes)))
        return false;
    reserved_ = statedBytes;
    counted_->set(std::max(bytes_, reserved_));
    return true;
}

} // namespace sapphirepass

#include "gateway/requests/response_budget.h"

namespace sapphirepass {

auto ResponseHold::set(std::size_t bytes) -> bool
{
    budget_.held_ += bytes;
    budget_.held_ -= bytes_;
    bytes_ = bytes;
    const auto total = budget_.bounds_.total_;
    const auto free = total - (budget_.held_ < total ? budget_.held_ : total);
    return bytes <= budget_.bounds_.guaranteed_ || bytes <= free;
}

} // namespace sapphirepass

// Spreads requests for an object over candidates, so that instances that know the same loads do not all choose the same one.
#pragma once

#include "gateway/placement/expected_end.h"

#include <optional>
#include <vector>

namespace sapphirepass {

// Wait that the region's requests for an object add to its owners, in total, until newer loads are known.
auto expectedAddedWait(double requestsPerSecond, Duration warmRun, int slots) -> Duration;

// Part of the candidates' slots that is in use, at most 1: requests that find a free slot add no wait.
auto utilizationOf(const std::vector<EndCandidate>& candidates, int slots) -> double;

// The added wait is divided over the candidates so that the ends of those that get a part become equal; each is chosen with a
// probability in proportion to its part. draw, in [0, 1), decides. Without added wait, the candidate with the earliest compared end
// is chosen. Empty if there are no candidates.
auto chooseBySpread(const std::vector<EndCandidate>& candidates, Duration addedWait, double draw) -> std::optional<std::size_t>;

} // namespace sapphirepass

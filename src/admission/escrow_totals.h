// Derives the fleet-wide limits from the configuration.
#pragma once

#include "admission/escrow_type.h"
#include "config/snapshot.h"

namespace sapphirepass {

auto totalsOf(const Snapshot& snapshot) -> BudgetTotals;

} // namespace sapphirepass

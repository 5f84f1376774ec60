// The fleet-wide limits that a configuration declares.
#pragma once

#include "admission/escrow_type.h"
#include "config/snapshot.h"

namespace sapphirepass {

auto totalsOf(const Snapshot& snapshot) -> BudgetTotals;

} // namespace sapphirepass

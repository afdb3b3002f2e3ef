#pragma once

#include "gateway/placement_decision.h"

namespace mustardtrail::gateway
{

/// Chooses between serving a request in the own cell and anywhere. Guards against a cell that is short of servers while others
/// have room. Another cell's load is known less exactly, so a request goes there only when that makes it be on time, or when
/// the own cell would refuse it.
placement_decision chooseCell(placement_decision inOwnCell, placement_decision inFleet);

} // namespace mustardtrail::gateway

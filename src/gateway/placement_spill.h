#pragma once

#include "gateway/placement_decision.h"

namespace mustardtrail::gateway
{

/// Whether the request is better served by another cell: its own has no capacity for it now, would refuse
/// it, or would send it to a suspected or full server.
bool wouldLeaveCell(const placement_decision &inOwnCell);
/// Chooses between serving a request in the own cell and anywhere. Guards against a cell that is short of servers while others
/// have room. Another cell's load is known less exactly, so a request that can be served in its own cell stays, even when it
/// will be late there.
placement_decision chooseCell(const placement_decision &inOwnCell, const placement_decision &inFleet);

} // namespace mustardtrail::gateway

#include "gateway/placement_spill.h"

namespace mustardtrail::gateway
{

bool wouldLeaveCell(const placement_decision &inOwnCell)
{
    return inOwnCell.next == placement_decision::action::refuse || inOwnCell.isServerUnfit || inOwnCell.isWithoutCapacity;
}

placement_decision chooseCell(const placement_decision &inOwnCell, const placement_decision &inFleet)
{
    const bool isBetter = inFleet.next == placement_decision::action::send && !inFleet.isServerUnfit;
    return wouldLeaveCell(inOwnCell) && isBetter ? inFleet : inOwnCell;
}

} // namespace mustardtrail::gateway

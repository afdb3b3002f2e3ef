#include "gateway/placement_spill.h"

namespace mustardtrail::gateway
{

placement_decision chooseCell(placement_decision inOwnCell, placement_decision inFleet)
{
    if (inOwnCell.isOnTime) {
        return inOwnCell;
    }
    const bool isRefused = inOwnCell.next == placement_decision::action::refuse;
    return inFleet.isOnTime || isRefused ? inFleet : inOwnCell;
}

} // namespace mustardtrail::gateway

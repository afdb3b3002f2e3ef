#include "membership/fleet_view.h"

namespace mustardtrail::membership
{

bool fleet_view::isConfirmed(time_point now) const
{
    return config != nullptr && now - confirmedAt < viewLease;
}

} // namespace mustardtrail::membership

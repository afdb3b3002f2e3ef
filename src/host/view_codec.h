#pragma once

#include "base/error.h"
#include "membership/fleet_view.h"

#include <boost/json/object.hpp>

namespace mustardtrail::host
{

/// True when the views are equal except for their confirmation time.
bool sameContent(const membership::fleet_view &left, const membership::fleet_view &right);

/// Encodes the view without its configuration, which is sent as a separate delta. Times are sent as ages.
boost::json::object viewToJson(const membership::fleet_view &view, time_point now);

/// Decodes the result of viewToJson. The age of the confirmation counts back from `requestedAt` and those of ownerships
/// from `receivedAt`, so that the transit time never extends a lease nor makes an ownership appear older.
result<membership::fleet_view> viewFromJson(const boost::json::object &message, time_point requestedAt, time_point receivedAt);

} // namespace mustardtrail::host

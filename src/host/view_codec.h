#pragma once

#include "base/error.h"
#include "membership/fleet_view.h"

#include <boost/json/object.hpp>

namespace mustardtrail::host
{

/// True when the views differ in nothing but the time of their confirmation.
bool sameContent(const membership::fleet_view &left, const membership::fleet_view &right);

/// The view without its configuration, which travels as a delta of its own. Times travel as ages.
boost::json::object viewToJson(const membership::fleet_view &view, time_point now);

/// Reads what viewToJson wrote. The confirmation counts from `askedAt` and the ownership from `receivedAt`:
/// the time on the way never makes a lease or an ownership longer than it is.
result<membership::fleet_view> viewFromJson(const boost::json::object &message, time_point askedAt, time_point receivedAt);

} // namespace mustardtrail::host

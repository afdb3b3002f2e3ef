#pragma once

#include "membership/fleet_view.h"

namespace mustardtrail::orders
{

/// Published properties of a backend server; null when the view has none.
const config::backend_server *serverOf(const membership::fleet_view &view, const backend_server_id &id);

/// True when the server is in service, yet takes no new work: its planned stop has begun.
bool isLeaving(const membership::fleet_view &view, const config::backend_server &server, const membership::backend_assignment &assignment);

} // namespace mustardtrail::orders

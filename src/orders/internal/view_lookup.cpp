#include "orders/internal/view_lookup.h"

namespace mustardtrail::orders
{

const config::backend_server *serverOf(const membership::fleet_view &view, const backend_server_id &id)
{
    if (view.config == nullptr) {
        return nullptr;
    }
    const auto found = view.config->backendServers.find(id);
    return found == view.config->backendServers.end() ? nullptr : &found->second;
}

bool isLeaving(const membership::fleet_view &view, const config::backend_server &server, const membership::backend_assignment &assignment)
{
    const auto centre = view.config->dataCentres.find(server.dataCentre);
    const bool centreInService = centre == view.config->dataCentres.end() || centre->second.inService;
    // An engine that operators took out is still kept up to date, so that it returns ready.
    return server.inService && centreInService && !assignment.acceptsNewWork;
}

} // namespace mustardtrail::orders

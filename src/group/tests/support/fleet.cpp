#include "group/tests/support/fleet.h"

namespace mustardtrail::group::testing
{

std::string numbered(std::string prefix, std::uint64_t number)
{
    prefix += std::to_string(number);
    return prefix;
}

config::configuration makeConfiguration(int engines, token_count memoryTokens)
{
    config::configuration config;
    config.revision = 1;
    config.models.insert(model_id("pay"));
    config.dataCentres[data_centre_id("dc1")] = { data_centre_id("dc1"), "r1", true };
    config.classes[class_id("review")] = { class_id("review"), std::chrono::seconds(30), std::chrono::seconds(60), true };
    for (int number = 1; number <= engines; ++number) {
        config::backend_server server;
        server.id = backend_server_id(numbered("g", static_cast<std::uint64_t>(number)));
        server.dataCentre = data_centre_id("dc1");
        server.models = { model_id("pay") };
        server.modelVersion = std::string(1, '1');
        server.memoryTokens = memoryTokens;
        config.backendServers[server.id] = server;
    }
    return config;
}

std::shared_ptr<const membership::fleet_view> view_maker::make(time_point confirmedAt) const
{
    auto view = std::make_shared<membership::fleet_view>();
    view->config = config;
    view->self = self;
    view->selfDataCentre = data_centre_id("dc1");
    view->isolated = isolated;
    view->confirmedAt = confirmedAt;
    for (const auto &[id, server] : config->backendServers) {
        membership::backend_assignment assignment;
        const auto owner = owners.find(id);
        assignment.owner = owner == owners.end() ? self : owner->second;
        assignment.acceptsNewWork = server.inService;
        const auto number = fencing.find(id);
        assignment.fencingNumber = number == fencing.end() ? 1 : number->second;
        view->backends[id] = assignment;
    }
    return view;
}

} // namespace mustardtrail::group::testing

#include "node/tests/fleet_config.h"

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr token_count engineMemory = 40'000;
constexpr int coldBound = 2;
constexpr int warmBound = 8;

void addBackend(config::configuration &config, const std::string &id, const std::string &dataCentre)
{
    config::backend_server server;
    server.id = backend_server_id(id);
    server.dataCentre = data_centre_id(dataCentre);
    server.address = { "10.1.0." + std::to_string(config.backendServers.size() + 1), 80 };
    server.coldRequests = coldBound;
    server.warmRequests = warmBound;
    if (id.front() == 's') {
        server.kind = config::backend_server_kind::service;
        server.service = service_id("counter");
    } else {
        server.models = { model_id("pay") };
        server.modelVersion = "1";
        server.memoryTokens = engineMemory;
    }
    config.backendServers.emplace(server.id, server);
}

} // namespace

std::shared_ptr<config::configuration> makeFleetConfig()
{
    auto config = std::make_shared<config::configuration>();
    config->revision = 1;
    config->customers.emplace(customer_id("c1"), config::customer{ customer_id("c1") });
    config->models.insert(model_id("pay"));
    config->classes.emplace(class_id("lookup"), config::work_class{ class_id("lookup"), 800ms, 1500ms, true });
    config->classes.emplace(class_id("review"), config::work_class{ class_id("review"), 3000ms, 5000ms, true });
    config->classes.emplace(class_id("history"), config::work_class{ class_id("history"), 15s, 20s, true });
    config->classes.emplace(class_id("deposit"), config::work_class{ class_id("deposit"), 800ms, 1500ms, false });
    for (const char *id : { "dc1", "dc2" }) {
        config->dataCentres.emplace(data_centre_id(id), config::data_centre{ data_centre_id(id), "r1", true });
    }
    for (const char *id : { "g1", "g2", "g3", "s1" }) {
        addBackend(*config, id, "dc1");
    }
    for (const char *id : { "g4", "g5", "s2" }) {
        addBackend(*config, id, "dc2");
    }
    return config;
}

std::vector<membership::peer> makeFleetPeers()
{
    std::vector<membership::peer> peers;
    for (const auto &[id, dataCentre] : { std::pair("e1", "dc1"), std::pair("e2", "dc1"), std::pair("e3", "dc2") }) {
        membership::peer peer;
        peer.id = instance_id(id);
        peer.dataCentre = data_centre_id(dataCentre);
        peer.requests = { "10.0.0." + std::to_string(peers.size() + 1), 80 };
        peers.push_back(peer);
    }
    return peers;
}

std::shared_ptr<membership::fleet_view> makeOwnerView(const char *self, time_point confirmedAt)
{
    auto view = std::make_shared<membership::fleet_view>();
    view->config = makeFleetConfig();
    view->self = instance_id(self);
    view->selfDataCentre = data_centre_id("dc1");
    view->confirmedAt = confirmedAt;
    for (membership::peer &peer : makeFleetPeers()) {
        peer.state = membership::peer_state::alive;
        if (peer.id != view->self) {
            view->peers.emplace(peer.id, peer);
        }
    }
    for (const auto &[id, server] : view->config->backendServers) {
        membership::backend_assignment assignment;
        assignment.owner = instance_id("e2");
        assignment.acceptsNewWork = true;
        assignment.ownedSince = time_point(1s);
        view->backends.emplace(id, assignment);
    }
    return view;
}

} // namespace mustardtrail::node::testing

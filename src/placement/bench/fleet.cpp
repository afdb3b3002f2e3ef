#include "placement/bench/fleet.h"

#include "base/hash.h"
#include "placement/bench/fake_engine.h"
#include "placement/bench/numbered_name.h"

namespace mustardtrail::placement::bench
{

namespace
{

data_centre_id dataCentreName(std::size_t number)
{
    return data_centre_id(numberedName("dc", number));
}

instance_id ownerOf(const fleet_shape &shape, std::size_t engine)
{
    instance_id best;
    std::uint64_t bestWeight = 0;
    for (std::size_t entry = engine % dataCentreCount; entry < shape.entries; entry += dataCentreCount) {
        const std::uint64_t weight = rendezvousWeight(engineName(engine).str(), entryName(entry).str());
        if (best.empty() || weight > bestWeight) {
            best = entryName(entry);
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

const fleet_shape &blueMahoe()
{
    static const fleet_shape shape{ "Blue Mahoe", 16, 9, std::chrono::microseconds(1000), std::chrono::microseconds(1000) };
    return shape;
}

const fleet_shape &bronces()
{
    static const fleet_shape shape{ "Bronces", 21, 9, std::chrono::microseconds(500), std::chrono::microseconds(3000) };
    return shape;
}

std::size_t dataCentreOfEntry(std::size_t entry)
{
    return entry % dataCentreCount;
}

instance_id entryName(std::size_t entry)
{
    return instance_id(numberedName("e", entry));
}

backend_server_id engineName(std::size_t engine)
{
    return backend_server_id(numberedName("g", engine));
}

std::shared_ptr<membership::fleet_view> makeView(const fleet_shape &shape, std::size_t self, time_point ownedSince)
{
    auto configuration = std::make_shared<config::configuration>();
    auto view = std::make_shared<membership::fleet_view>();
    for (std::size_t centre = 0; centre < dataCentreCount; ++centre) {
        configuration->dataCentres[dataCentreName(centre)] = { dataCentreName(centre), "region", true };
    }
    for (std::size_t engine = 0; engine < shape.engines; ++engine) {
        config::backend_server server;
        server.id = engineName(engine);
        server.dataCentre = dataCentreName(engine % dataCentreCount);
        server.models = { model_id("model") };
        server.memoryTokens = engineMemoryTokens;
        server.coldRequests = engineColdRequests;
        server.warmRequests = engineWarmRequests;
        configuration->backendServers[server.id] = server;
        view->backends[server.id] = { ownerOf(shape, engine), true, ownedSince, 1 };
    }
    for (std::size_t entry = 0; entry < shape.entries; ++entry) {
        membership::peer peer;
        peer.id = entryName(entry);
        peer.dataCentre = dataCentreName(dataCentreOfEntry(entry));
        if (entry != self) {
            view->peers[peer.id] = peer;
        }
    }
    view->config = std::move(configuration);
    view->self = entryName(self);
    view->selfDataCentre = dataCentreName(dataCentreOfEntry(self));
    return view;
}

} // namespace mustardtrail::placement::bench

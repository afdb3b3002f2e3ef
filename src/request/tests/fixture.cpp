#include "request/tests/fixture.h"

#include <algorithm>

namespace mustardtrail::request::testing
{

namespace
{

template<typename value> bool contains(const std::vector<value> &list, const value &entry)
{
    return std::find(list.begin(), list.end(), entry) != list.end();
}

void addBackend(config::configuration &config, const std::string &id, const std::string &dataCentre, const std::string &version)
{
    config::backend_server backend;
    backend.id = backend_server_id(id);
    backend.dataCentre = data_centre_id(dataCentre);
    if (id.front() == 's') {
        backend.kind = config::backend_server_kind::service;
        backend.service = service_id("orders");
    } else {
        backend.models = { model_id("pay") };
        backend.modelVersion = version;
    }
    config.backendServers.emplace(backend.id, backend);
}

std::shared_ptr<const config::configuration> makeConfig()
{
    auto config = std::make_shared<config::configuration>();
    config->revision = 1;
    const auto addClass = [&](const char *id, milliseconds firstToken, bool repeatable) {
        config->classes.emplace(class_id(id), config::work_class{ class_id(id), firstToken, milliseconds(5000), repeatable });
    };
    addClass("lookup", milliseconds(300), true);
    addClass("deposit", milliseconds(300), false);
    config->customers.emplace(customer_id("c1"), config::customer{ customer_id("c1") });
    config->models.insert(model_id("pay"));
    for (const char *id : { "dc1", "dc2" }) {
        config->dataCentres.emplace(data_centre_id(id), config::data_centre{ data_centre_id(id), "r1", true });
    }
    addBackend(*config, "g1", "dc1", "1");
    addBackend(*config, "g2", "dc1", "1");
    addBackend(*config, "g3", "dc2", "1");
    addBackend(*config, "g4", "dc2", "2");
    addBackend(*config, "s1", "dc1", "");
    addBackend(*config, "s2", "dc2", "");
    return config;
}

} // namespace

std::shared_ptr<membership::fleet_view> makeView(const std::string &self, time_point confirmedAt, const std::vector<std::string> &dead)
{
    static const std::shared_ptr<const config::configuration> config = makeConfig();
    auto view = std::make_shared<membership::fleet_view>();
    view->config = config;
    view->self = instance_id(self);
    view->selfDataCentre = data_centre_id(self == "e3" ? "dc2" : "dc1");
    view->confirmedAt = confirmedAt;
    for (const char *id : { "e1", "e2", "e3" }) {
        membership::peer peer;
        peer.id = instance_id(id);
        peer.dataCentre = data_centre_id(peer.id.str() == "e3" ? "dc2" : "dc1");
        peer.state = contains(dead, peer.id.str()) ? membership::peer_state::dead : membership::peer_state::alive;
        if (id != self) {
            view->peers.emplace(peer.id, peer);
        }
    }
    const std::pair<const char *, const char *> owners[]
        = { { "g1", "e1" }, { "g2", "e2" }, { "g3", "e3" }, { "g4", "e3" }, { "s1", "e1" }, { "s2", "e3" } };
    for (const auto &[backend, owner] : owners) {
        const instance_id id(contains(dead, std::string(owner)) && std::string(owner) == "e2" ? "e1" : owner);
        view->backends.emplace(backend_server_id(backend), membership::backend_assignment{ id, true, {}, 0 });
    }
    return view;
}

result<instance_id> chooseFirst(const membership::fleet_view &view,
    const placement::work_item &work,
    const std::vector<backend_server_id> &excludedBackends,
    const std::vector<instance_id> &excludedInstances)
{
    for (const bool own : { true, false }) {
        for (const auto &[id, backend] : view.config->backendServers) {
            const instance_id owner = view.backends.at(id).owner;
            const bool serves = work.model.empty() ? backend.service == work.service : contains(backend.models, work.model);
            const bool excluded = contains(excludedBackends, id) || contains(excludedInstances, owner);
            if ((backend.dataCentre == view.selfDataCentre) == own && serves && !excluded) {
                return owner;
            }
        }
    }
    return tl::make_unexpected(error{ error_code::no_backend_server, verdict::not_run, "", milliseconds(200) });
}

std::unique_ptr<request_core> makeCore(const std::string &self, request_core_options options)
{
    constexpr std::uint64_t seed = 7;
    const auto choose = [self](const placement::work_item &work,
                            const std::vector<backend_server_id> &backends,
                            const std::vector<instance_id> &instances,
                            time_point) {
        return chooseFirst(*makeView(self, at(0)), work, backends, instances);
    };
    auto core = std::make_unique<request_core>(options, instance_id(self), seed, choose);
    core->onView(makeView(self, at(0)), at(0));
    return core;
}

caller_request makeLookup(const std::string &id)
{
    caller_request request;
    request.id = request_id(id);
    request.customer = customer_id("c1");
    request.workClass = class_id("lookup");
    request.model = model_id("pay");
    request.promptTokens = 1000;
    request.maxNewTokens = 16;
    return request;
}

caller_request makeDeposit(const std::string &id, const std::string &key)
{
    caller_request request;
    request.id = request_id(id);
    request.customer = customer_id("c1");
    request.workClass = class_id("deposit");
    request.service = service_id("orders");
    request.idempotencyKey = key;
    request.fingerprint = 1;
    return request;
}

attempt_output makeOutput(const std::string &attempt, std::uint64_t sequence, const std::string &text)
{
    return { attempt_id(attempt), sequence, text, 1 };
}

attempt_failed makeFailure(const std::string &attempt, error_code code, verdict outcome, const std::string &backend)
{
    return { attempt_id(attempt), { code, outcome, "", {} }, backend_server_id(backend) };
}

} // namespace mustardtrail::request::testing

#include "orders/internal/order_decision.h"

#include <algorithm>

namespace mustardtrail::orders
{

std::set<loaded_model> wantedModels(const config::backend_server &server)
{
    std::set<loaded_model> wanted;
    for (const model_id &model : server.models) {
        wanted.insert({ model, server.modelVersion });
    }
    return wanted;
}

std::optional<engine_order> missingOrder(const config::backend_server &server, const std::string &role, const engine_state &state)
{
    if (!role.empty() && role != state.role) {
        return engine_order{ .kind = order_kind::change_role, .model = {}, .role = role };
    }
    for (const loaded_model &wanted : wantedModels(server)) {
        if (!state.models.contains(wanted)) {
            return engine_order{ .kind = order_kind::load, .model = wanted, .role = {} };
        }
    }
    return std::nullopt;
}

std::vector<loaded_model> extraModels(const config::backend_server &server, const engine_state &state)
{
    const std::set<loaded_model> wanted = wantedModels(server);
    std::vector<loaded_model> extra;
    std::set_difference(state.models.begin(), state.models.end(), wanted.begin(), wanted.end(), std::back_inserter(extra));
    return extra;
}

bool servedByOtherVersion(const engine_state &state, const loaded_model &extra)
{
    return std::any_of(state.models.begin(), state.models.end(), [&](const loaded_model &loaded) {
        return loaded.model == extra.model && loaded.version != extra.version;
    });
}

std::vector<backend_server_id> otherServersOf(
    const config::configuration &config, const config::backend_server &server, const model_id &model)
{
    std::vector<backend_server_id> others;
    for (const auto &[id, other] : config.backendServers) {
        const bool eligible = other.kind == config::backend_server_kind::engine && other.dataCentre == server.dataCentre && id != server.id;
        if (eligible && std::find(other.models.begin(), other.models.end(), model) != other.models.end()) {
            others.push_back(id);
        }
    }
    return others;
}

} // namespace mustardtrail::orders

#pragma once

#include "config/configuration.h"
#include "orders/engine_order.h"

#include <optional>
#include <set>
#include <vector>

namespace mustardtrail::orders
{

/// Models and versions that the configuration wants at an engine.
std::set<loaded_model> wantedModels(const config::backend_server &server);

/// Role or load that is missing; loads come before unloads.
std::optional<engine_order> missingOrder(const config::backend_server &server, const std::string &role, const engine_state &state);

/// What the engine holds beyond the configuration.
std::vector<loaded_model> extraModels(const config::backend_server &server, const engine_state &state);

/// True when the engine goes on serving the model after this copy is gone.
bool servedByOtherVersion(const engine_state &state, const loaded_model &extra);

/// Engines of the same data centre that the configuration wants to serve the model.
std::vector<backend_server_id> otherServersOf(
    const config::configuration &config, const config::backend_server &server, const model_id &model);

} // namespace mustardtrail::orders

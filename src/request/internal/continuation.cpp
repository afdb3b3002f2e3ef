#include "request/internal/continuation.h"

#include <algorithm>

namespace mustardtrail::request
{

std::vector<backend_server_id> otherVersions(const config::configuration &config, const model_id &model, const std::string &version)
{
    std::vector<backend_server_id> others;
    for (const auto &[id, backend] : config.backendServers) {
        const bool serves = std::find(backend.models.begin(), backend.models.end(), model) != backend.models.end();
        if (serves && backend.modelVersion != version) {
            others.push_back(id);
        }
    }
    return others;
}

} // namespace mustardtrail::request

#pragma once

#include "base/ids.h"
#include "config/configuration.h"

#include <string>
#include <vector>

namespace mustardtrail::request
{

/// Backend servers of the model that run another version and so may not continue an answer of this version.
std::vector<backend_server_id> otherVersions(const config::configuration &config, const model_id &model, const std::string &version);

} // namespace mustardtrail::request

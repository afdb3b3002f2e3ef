#pragma once

#include "base/ids.h"
#include "config/configuration.h"

#include <string>
#include <vector>

namespace mustardtrail::request
{

/// Backend servers of the model that may not go on with an answer of this version, because theirs is another one.
std::vector<backend_server_id> otherVersions(const config::configuration &config, const model_id &model, const std::string &version);

} // namespace mustardtrail::request

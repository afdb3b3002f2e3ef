#pragma once

#include "base/ids.h"
#include "config/configuration.h"

#include <optional>
#include <vector>

namespace mustardtrail::request
{

/// Backend servers that may not go on with an answer that `answeredBy` began, because their model
/// version is another one. Nothing when the version of the answer is unknown.
std::optional<std::vector<backend_server_id>> otherVersions(
    const config::configuration &config, const model_id &model, const backend_server_id &answeredBy);

} // namespace mustardtrail::request

#pragma once

#include "config/config_problem.h"
#include "config/config_update.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Checks keys and revisions of an update against each other and against the keys that are held.
std::vector<config_problem> checkEnvelope(const config_update &update, const std::map<std::string, std::int64_t> &heldRevisions);

} // namespace mustardtrail::config

#pragma once

#include "config/config_entry.h"
#include "config/config_problem.h"
#include "config/configuration.h"

#include <memory>
#include <vector>

#include <tl/expected.hpp>

namespace mustardtrail::config
{

/// Checks all entries together. Gives the configuration at the highest revision among them, or every problem found,
/// in one order that is the same on every node.
tl::expected<std::shared_ptr<const configuration>, std::vector<config_problem>> parseConfiguration(
    const std::vector<config_entry> &entries);

} // namespace mustardtrail::config

#pragma once

#include "config/configuration.h"
#include "programs/ctl/internal/subcommand.h"

#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace mustardtrail::ctl
{

/// Reads and checks a configuration file; on failure the reason has been written out.
tl::expected<std::shared_ptr<const config::configuration>, exit_code> readConfigFile(
    const std::string &path, const command_context &context);

} // namespace mustardtrail::ctl

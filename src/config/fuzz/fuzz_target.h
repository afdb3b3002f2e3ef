#pragma once

#include "config/config_problem.h"

#include <string_view>
#include <vector>

namespace mustardtrail::config
{

/// Reads any bytes in every way the module reads text from outside; gives the problems found, none for a valid file.
/// Ends the process when a result contradicts itself.
std::vector<config_problem> readAnyText(std::string_view text);

} // namespace mustardtrail::config

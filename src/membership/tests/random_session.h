#pragma once

#include "tests/session_checker.h"

#include <functional>
#include <string>
#include <vector>

namespace mustardtrail::membership
{

/// Runs one short schedule of cuts, pauses, restarts, list and configuration errors and drains; gives what the checker noted.
std::vector<std::string> runRandomSession(std::uint64_t seed, const std::function<void(view_settings &)> &adjust = {});

} // namespace mustardtrail::membership

#pragma once

#include "programs/load/load_options.h"
#include "programs/load/load_phase.h"

#include <string>

namespace mustardtrail::load
{

/// Time to first token of finished requests by prompt length, as a markdown table.
std::string firstTokenTable(const load_phase &phase);

/// Slowdown of finished short requests: p95 with long prompts present over p95 without, as a markdown table.
std::string slowdownTable(const load_phase &without, const load_phase &with);

/// Finished, refused by code and failed by code, for each entry address, as a markdown table.
std::string serviceTable(const load_options &options, const load_phase &phase);

/// True when no request failed; a refusal that says not_run is no failure.
bool allRight(const load_phase &phase);

} // namespace mustardtrail::load

#pragma once

#include "config/configuration.h"
#include "config/preview_report.h"

#include <map>
#include <set>
#include <vector>

namespace mustardtrail::config
{

/// Engines of one model in one data centre that are in service.
struct engine_capacity {
    int engines = 0;
    token_count memoryTokens = 0;
};

/// Capacity in service by model and data centre.
using capacity_table = std::map<model_id, std::map<data_centre_id, engine_capacity>>;

bool isInService(const configuration &value, const backend_server &server);
int backendServersInService(const configuration &value, const data_centre_id &dataCentre);
capacity_table capacityOf(const configuration &value);
engine_capacity totalOf(const capacity_table &table, const model_id &model);
/// Memory of the data centre that has the most for the model: engines that hold one prompt together share a data centre.
token_count longestPrompt(const capacity_table &table, const model_id &model);
std::set<model_id> modelsOf(const configuration &before, const configuration &after);

std::vector<capacity_row> compareCapacity(const configuration &before, const configuration &after);
std::vector<longest_prompt_row> compareLongestPrompts(const configuration &before, const configuration &after);

} // namespace mustardtrail::config

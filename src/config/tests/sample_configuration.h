#pragma once

#include "config/config_update.h"

#include <map>
#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Small valid configuration for tests: two data centres, three engines, one service.
using sample_values = std::map<std::string, std::string>;
sample_values sampleValues();

std::string engineText(const std::string &id, int port, const std::string &changes = "");

std::vector<config_entry> entriesOf(const sample_values &values, std::int64_t revision = 1);
config_update completeUpdate(const sample_values &values, std::int64_t revision = 1);
config_update deltaUpdate(std::int64_t base, std::vector<config_entry> entries);

/// Replaces the first occurrence of a text; the test fails when there is none.
std::string replaced(std::string text, const std::string &what, const std::string &with);

/// Reads a file of the module's test folder.
std::string readTestFile(const std::string &name);

} // namespace mustardtrail::config

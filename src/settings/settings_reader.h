#pragma once

#include "settings/setting_rule.h"
#include "settings/settings_problem.h"
#include "settings/settings_values.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace mustardtrail::settings
{

using settings_result = tl::expected<settings_values, std::vector<settings_problem>>;

/// Checks the whole text against the rules; reports every fault, in the order of the file.
settings_result readSettings(std::string_view text, const std::string &fileName, const std::vector<setting_rule> &rules);

/// Reads a file and checks it; an unreadable file is one problem.
settings_result readSettingsFile(const std::string &fileName, const std::vector<setting_rule> &rules);

} // namespace mustardtrail::settings

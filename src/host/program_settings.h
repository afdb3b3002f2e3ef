#pragma once

#include "host/exit_code.h"
#include "settings/settings_reader.h"

#include <vector>

namespace mustardtrail::host
{

/// Parses --settings FILE, --check-settings and --help; reads and checks the file.
/// Exits the process on a problem, and after --check-settings.
settings::settings_values readProgramSettings(
    int argc, char **argv, const std::string &usage, const std::vector<settings::setting_rule> &rules);

/// Rules of the settings that all programs share: instance, data centre, log level, simulated partitions.
std::vector<settings::setting_rule> commonSettingRules();

/// Opens the log at the configured level.
void openProgramLog(const settings::settings_values &values, const std::string &program);

} // namespace mustardtrail::host

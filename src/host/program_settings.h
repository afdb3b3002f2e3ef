#pragma once

#include "settings/settings_reader.h"

#include <vector>

namespace mustardtrail::host
{

/// Exit codes of every program.
enum exit_code : int {
    exit_ok = 0,
    exit_usage = 1, ///< Bad command line.
    exit_settings = 2, ///< The settings file has problems; each is printed.
    exit_listen = 3, ///< An address could not be bound.
};

/// Parses --settings FILE, --check-settings and --help; reads and checks the file.
/// Ends the process on a problem, and after --check-settings.
settings::settings_values readProgramSettings(
    int argc, char **argv, const std::string &usage, const std::vector<settings::setting_rule> &rules);

/// Keys that all programs share: instance, data centre, log level.
std::vector<settings::setting_rule> commonRules();

/// Opens the log at the level of the settings.
void openProgramLog(const settings::settings_values &values, const std::string &program);

} // namespace mustardtrail::host

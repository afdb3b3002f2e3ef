#pragma once

#include "http/server.h"
#include "settings/settings_reader.h"

#include <vector>

namespace mustardtrail::standin
{

/// Reads --settings FILE and checks it; prints the problems and exits on a fault.
settings::settings_values readProgramSettings(int argc, char **argv, const char *usage, const std::vector<settings::setting_rule> &rules);

void listenOrExit(http::server &server, const endpoint &address);

} // namespace mustardtrail::standin

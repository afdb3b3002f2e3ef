#pragma once

#include "base/log_line.h"

#include <string>

namespace mustardtrail::host
{

enum class log_level {
    debug,
    info,
    warning,
};

/// Sends log lines to standard output; call once at the start of a program.
void openLog(log_level level, const std::string &program);
void log(log_level level, const log_line &line);

} // namespace mustardtrail::host

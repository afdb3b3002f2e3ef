#pragma once

#include "base/log_line.h"

#include <cstdint>
#include <string>

namespace mustardtrail::host
{

enum class log_level {
    debug,
    info,
    warning,
};

/// Sends log lines to standard output; call once at the start of a program. Lines that would block because the reader
/// is too slow are dropped, so that a stuck reader never blocks the program.
void openLog(log_level level, const std::string &program);
void log(log_level level, const log_line &line);
/// Lines dropped since the start.
std::uint64_t droppedLogLines();

} // namespace mustardtrail::host

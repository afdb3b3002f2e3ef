#pragma once

namespace mustardtrail::host
{

/// Exit codes of every program.
enum exit_code : int {
    exit_ok = 0,
    exit_usage = 1, ///< Bad command line.
    exit_settings = 2, ///< The settings file has problems; each is printed.
    exit_listen = 3, ///< An address could not be bound.
};

} // namespace mustardtrail::host

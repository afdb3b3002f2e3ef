#pragma once

#include "base/error_code.h"

#include <string>

namespace mustardtrail::settings
{

/// One fault of a settings file.
struct settings_problem {
    error_code code = error_code::none;
    std::string file;
    int line = 0; ///< From 1; 0 when the fault has no line (a missing key).
    std::string key; ///< "section.key".
    std::string given;
    std::string allowed;
};

/// "MT-1001 file:line key=... given=... allowed=..."
std::string toString(const settings_problem &problem);

} // namespace mustardtrail::settings

#pragma once

#include "base/error_code.h"

#include <compare>
#include <string>

namespace mustardtrail::config
{

/// One reason why a configuration is refused. No field depends on a language.
struct config_problem {
    error_code code = error_code::none;
    std::string key; ///< Key of the configuration, such as "classes".
    std::string path; ///< Place in the value, such as "lookup.first_token_target"; empty for the whole value.
    std::string given; ///< What was found.
    std::string allowed; ///< What may stand there.

    auto operator<=>(const config_problem &) const = default;
};

} // namespace mustardtrail::config

#pragma once

#include <string>

namespace mustardtrail::ctl
{

/// Answer of a process to a question of an operator.
struct fetched_answer {
    int status = 0; ///< HTTP status code.
    std::string body;
};

} // namespace mustardtrail::ctl

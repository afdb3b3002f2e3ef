#include "settings/settings_problem.h"

#include "base/log_line.h"

namespace mustardtrail::settings
{

std::string toString(const settings_problem &problem)
{
    log_line line("settings_problem");
    line.add("code", toString(problem.code)).add("file", problem.file).add("line", problem.line);
    line.add("key", problem.key).add("given", problem.given).add("allowed", problem.allowed);
    return line.str();
}

} // namespace mustardtrail::settings

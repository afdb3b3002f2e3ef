#include "programs/ctl/internal/config_file.h"
#include "programs/ctl/internal/subcommands.h"

#include "config/report_text.h"

namespace mustardtrail::ctl
{

exit_code runCheck(const std::vector<std::string> &arguments, const command_context &context)
{
    const auto value = readConfigFile(arguments[0], context);
    if (!value) {
        return value.error();
    }
    if (context.json) {
        context.out << config::summaryJson(**value);
    } else {
        context.out << arguments[0] << ": " << config::summaryText(**value, context.language);
    }
    return exit_code::ok;
}

} // namespace mustardtrail::ctl

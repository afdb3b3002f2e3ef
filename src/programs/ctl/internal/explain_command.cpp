#include "programs/ctl/internal/code_json.h"
#include "programs/ctl/internal/subcommands.h"

#include "config/message_catalogue.h"

#include <boost/json/serialize.hpp>

namespace mustardtrail::ctl
{

exit_code runExplain(const std::vector<std::string> &arguments, const command_context &context)
{
    const std::optional<error_code> code = errorCodeFromString(arguments[0]);
    if (!code || !config::isInCatalogue(*code)) {
        context.err << config::word("code", context.language) << ": " << arguments[0] << "; " << config::word("allowed", context.language)
                    << ": MT-0000..MT-9999 (mustardtrail-ctl codes)\n";
        return exit_code::usage;
    }
    if (context.json) {
        context.out << boost::json::serialize(codeToJson(*code, context.language)) << '\n';
        return exit_code::ok;
    }
    context.out << toString(*code) << "  " << config::messageTitle(*code, context.language) << "\n\n"
                << config::word("action", context.language) << ": " << config::messageAction(*code, context.language) << '\n';
    return exit_code::ok;
}

} // namespace mustardtrail::ctl

#include "programs/ctl/internal/code_json.h"
#include "programs/ctl/internal/subcommands.h"

#include "config/message_catalogue.h"
#include "config/text_table.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::ctl
{

exit_code runCodes(const std::vector<std::string> &, const command_context &context)
{
    boost::json::array list;
    config::text_table table({ std::string(config::word("code", context.language)),
        std::string(config::word("message", context.language)),
        std::string(config::word("action", context.language)) });
    for (const error_code code : config::catalogueCodes()) {
        list.emplace_back(codeToJson(code, context.language));
        table.add({ toString(code),
            std::string(config::messageTitle(code, context.language)),
            std::string(config::messageAction(code, context.language)) });
    }
    context.out << (context.json ? boost::json::serialize(list) + "\n" : table.str());
    return exit_code::ok;
}

} // namespace mustardtrail::ctl

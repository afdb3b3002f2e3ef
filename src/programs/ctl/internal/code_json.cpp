#include "programs/ctl/internal/code_json.h"

#include "config/message_catalogue.h"

#include <string>

namespace mustardtrail::ctl
{

boost::json::object codeToJson(error_code code, config::language language)
{
    return { { "code", toString(code) },
        { "title", std::string(config::messageTitle(code, language)) },
        { "action", std::string(config::messageAction(code, language)) } };
}

} // namespace mustardtrail::ctl

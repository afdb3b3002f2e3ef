#include "config/internal/required_keys.h"

#include "config/internal/config_key.h"
#include "config/internal/json_reader.h"

#include <boost/json/string.hpp>

namespace mustardtrail::config
{

void checkRequiredKeys(const std::function<bool(const std::string &key)> &isPresent, problem_list &problems)
{
    for (const std::string_view required : requiredKeys) {
        const std::string key(required);
        if (!isPresent(key)) {
            problems.add({ error_code::config_missing_key, key, "", "", key });
        }
    }
}

std::string shownKey(const std::string &key)
{
    if (configKeyFromString(key)) {
        return key;
    }
    return shortText(boost::json::string(key));
}

} // namespace mustardtrail::config

#pragma once

#include "config/internal/problem_list.h"

#include <functional>
#include <string>

namespace mustardtrail::config
{

/// Reports each key that must be there and is not.
void checkRequiredKeys(const std::function<bool(const std::string &key)> &isPresent, problem_list &problems);

/// Key as it is shown in a message: an unknown one may hold anything, of any length.
std::string shownKey(const std::string &key);

} // namespace mustardtrail::config

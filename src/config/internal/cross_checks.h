#pragma once

#include "config/configuration.h"
#include "config/internal/problem_list.h"

#include <functional>
#include <string>

namespace mustardtrail::config
{

/// Key under which a backend server stands, for messages.
using key_of_server = std::function<std::string(const backend_server &server)>;

/// Checks between elements: references, one address for each backend server, targets and limits in order.
void checkReferences(const configuration &value, const key_of_server &keyOf, problem_list &problems);

} // namespace mustardtrail::config

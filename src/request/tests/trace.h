#pragma once

#include "request/backend_attempt_actions.h"
#include "request/request_actions.h"

#include <string>

namespace mustardtrail::request::testing
{

/// Formats an action with all its members as one line.
std::string toLine(const request_action &action);
std::string toLine(const backend_action &action);

} // namespace mustardtrail::request::testing

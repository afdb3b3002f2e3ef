#pragma once

#include "request/backend_attempt_actions.h"
#include "request/request_actions.h"

#include <string>

namespace mustardtrail::request::testing
{

/// One line of text for an action, every member in it.
std::string toLine(const request_action &action);
std::string toLine(const backend_action &action);

} // namespace mustardtrail::request::testing

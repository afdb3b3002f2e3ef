#pragma once

#include "proof/fleet/blocking_caller.h"

#include <string>

namespace mustardtrail::proof
{

/// What a caller sent: method, path, the caller's headers, length and hash of the body.
std::string sentText(const std::string &call, const http::request_message &request);

/// What came back: status, headers, fields of a JSON body, events of a stream. Ids and times are normalised.
std::string receivedText(const std::string &call, const caller_answer &answer);

} // namespace mustardtrail::proof

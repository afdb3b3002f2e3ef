#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "http/response_message.h"

#include <string>
#include <string_view>

namespace mustardtrail::entry
{

/// Title of the error's code with its detail.
std::string messageOf(const error &failure);

/// Refusal or failure in the callers' error shape, with verdict and time to come back; no request id when it is empty.
http::response_message errorAnswer(const request_id &request, const error &failure);

/// Answer to a request that could not be read.
http::response_message badRequestAnswer(int status, int code, std::string_view detail);

} // namespace mustardtrail::entry

#pragma once

#include "http/header_list.h"

#include <string>
#include <string_view>

namespace mustardtrail::http
{

/// One complete HTTP response.
struct response_message {
    int status = 200;
    header_list headers;
    std::string body;
};

/// Returns a response with the given body and its media type as Content-Type.
response_message makeResponse(int status, std::string body, std::string_view mediaType);

} // namespace mustardtrail::http
